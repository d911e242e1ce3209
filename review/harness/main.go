package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// playLimit bounds a case.
const playLimit = 110 * time.Second

// cases holds the scripted cases by name. Each returns the violations that it has seen.
var cases = map[string]func(w *world, trouble bool) ([]string, error){
	"reused-request-ids": playReusedRequestIDs,
	"prepared-names":     playPreparedNames,
	"leaving-primary":    playLeavingPrimary,
}

func main() {
	name := flag.String("case", "", "the case to play")
	path := flag.String("record", "record.txt", "the file that lists what was sent, answered and run")
	flag.Parse()
	os.Exit(play(*name, *path, os.Getenv("TROUBLE") != "0"))
}

// play plays a case and returns the exit code.
func play(name, path string, trouble bool) int {
	fn := cases[name]
	rec, err := newRecord(path)
	if fn == nil || err != nil {
		fmt.Fprintln(os.Stderr, "case", name, "cannot be played:", err)
		return exitCannotRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w, err := newWorld(ctx, dir, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer w.close()
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupts:
			rec.add("judge: the case was interrupted")
		case <-time.After(playLimit):
			rec.add("judge: the case took too long")
		}
		w.close()
		os.Exit(exitCannotRun)
	}()
	broken, err := fn(w, trouble)
	if dir := os.Getenv("REVIEW_LOGS"); dir != "" {
		for _, h := range w.hosts {
			if buf, err := os.ReadFile(h.logPath); err == nil {
				_ = os.WriteFile(dir+"/"+h.name+".log", buf, 0o600)
			}
		}
	}
	if err != nil {
		rec.add("judge: the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitCannotRun
	}
	for _, b := range broken {
		rec.add("judge: %s", b)
	}
	rec.add("judge: %d violations", len(broken))
	fmt.Printf("trouble %v: %d violations\n", trouble, len(broken))
	for _, b := range broken[:min(len(broken), 5)] {
		fmt.Println(b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	return exitHeld
}
