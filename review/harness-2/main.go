package main

import (
	"bufio"
	"fmt"
	"os"
	"time"
)

// cases holds the scripts by name. A script returns how often its rule was broken.
var cases = map[string]func(rec *recorder, trouble bool) int{
	"deposed-owner": deposedOwner,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness2 CASE RECORD")
		os.Exit(2)
	}
	f, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	rec := &recorder{out: bufio.NewWriterSize(f, 1<<20), start: time.Now()}
	os.Exit(play(rec, f))
}

// play runs a case and returns the exit code.
func play(rec *recorder, f *os.File) (code int) {
	defer func() {
		if r := recover(); r != nil {
			fail, ok := r.(failure)
			if !ok {
				panic(r)
			}
			rec.event("the case could not run: " + fail.Error())
			fmt.Println("could not run:", fail)
			code = 2
		}
		_ = rec.out.Flush()
		_ = f.Close()
	}()
	broken := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	rec.event("end", "broken", broken)
	fmt.Println("broken:", broken)
	if broken > 0 {
		return 1
	}
	return 0
}
