// Command harness-2 runs the cases of the second review: it starts nodes of the project as processes, with
// stand-ins of the platform's store, of replicas and of clients, and checks one rule.
package main

import (
	"fmt"
	"os"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration bounds a case with the history of the deployment's sheet.
const maxDuration = 110 * time.Second

// scenario runs one case on a site with a number of nodes and a store that keeps records for a time. run reports
// whether the rule was broken; trouble is whether the disruption takes place.
type scenario struct {
	nodes  int
	retain time.Duration
	run    func(s *site, trouble bool) (broken bool, err error)
}

func main() { os.Exit(execute()) }

func execute() int {
	if len(os.Args) == 4 && os.Args[1] == "serve" {
		if err := serveReplica(os.Args[2], os.Args[3]); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		return exitNotRun
	}
	if len(os.Args) == 6 && os.Args[1] == versionMode {
		if err := serveVersion(os.Args[2], os.Args[3], os.Args[4], os.Args[5]); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		return exitNotRun
	}
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: harness-2 CASE ROOT RECORD")
		return exitNotRun
	}
	chosen, known := scenarios[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case")
		return exitNotRun
	}
	record, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = record.Close() }()
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	} else {
		fmt.Println(folder)
	}
	s, err := newSite(os.Args[2], folder, record, chosen.nodes, chosen.retain)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	time.AfterFunc(maxDuration+chosen.retain-defaultHistory, func() {
		s.note("the case took too long")
		s.close()
		os.Exit(exitNotRun)
	})
	broken, err := chosen.run(s, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		s.note("the case could not run: %v", err)
		return exitNotRun
	case broken:
		s.note("the rule was BROKEN")
		return exitBroken
	}
	s.note("the rule held")
	return exitHeld
}
