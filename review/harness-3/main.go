// Command harness3 runs the scripts of the review's cases 11 to 15: it starts hosts of the project
// beside stand-ins of the platform, the databases and the clients, and checks one rule.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// cases holds the scripts by their names. They return whether the rule was broken.
var cases = map[string]func(e *environment) (bool, error){
	"route-change": routeChange, "lapse": lapse, "candidate-crash": candidateCrash,
	"moved-key": movedKey,
}

// environment is what a script needs.
type environment struct {
	rec *record
	// dir is a temporary folder, binary the program of the hosts.
	dir, binary string
	trouble     bool
	nextPort    int
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness3 CASE BINARY RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, binary, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(dir) }()
	e := &environment{rec: rec, dir: dir, binary: binary, trouble: os.Getenv("TROUBLE") != "0", nextPort: 20000 + os.Getpid()%1000*10}
	rec.add("case %s, trouble %v", name, e.trouble)
	broken, err := cases[name](e)
	switch {
	case err != nil:
		rec.add("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken:
		rec.add("RULE BROKEN")
		fmt.Println("rule broken")
		return 1
	}
	rec.add("rule held")
	fmt.Println("rule held")
	return 0
}
