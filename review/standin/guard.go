package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// smallMemoryMiB is the memory of a node in the smallest deployment.
	smallMemoryMiB = 144
	// endsOfFault is how often processes end on each of machinesOfFault machines in a day that
	// has a fault.
	endsOfFault     = 3
	machinesOfFault = 2
)

// answers counts what the clients got.
type answers struct {
	mutex                    sync.Mutex
	served, refused, cut, no int
}

func (u *answers) count(counter *int) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	*counter++
}

var errNoMemory = errors.New("no memory in the status of the process")

// anonymousKiB returns the memory of a process without its mapped files, which is less than what
// the platform counts.
func anonymousKiB(pid int) (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			return strconv.Atoi(fields[1])
		}
	}
	return 0, errNoMemory
}

// memoryGuard is what the platform does about the memory of one node's process.
type memoryGuard struct {
	ends, peakKiB int
}

// watch kills the process whenever it exceeds its memory, and starts it again.
func (g *memoryGuard) watch(n *node, stop <-chan struct{}) {
	const interval = 4 * time.Millisecond
	for {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		kib, err := anonymousKiB(n.process.Pid)
		if err != nil {
			continue
		}
		g.peakKiB = max(g.peakKiB, kib)
		if kib <= n.site.memoryMiB<<10 {
			continue
		}
		g.ends++
		n.site.note("platform %s over its memory: %d KiB of %d MiB; killed, time %d", n.name, kib, n.site.memoryMiB, g.ends)
		n.kill()
		time.Sleep(restartDelay)
		n.start()
	}
}

// judgeMemory ends the case: the rule is broken if processes ended over their memory endsOfFault times
// on each of machinesOfFault machines.
func (s *site) judgeMemory(guards []memoryGuard, counts *answers) {
	machines := 0
	for number, guard := range guards {
		line := fmt.Sprintf("%s: peak %d MiB of %d, ended over its memory %d times", s.nodes[number].name, guard.peakKiB>>10, s.memoryMiB, guard.ends)
		s.note("%s", line)
		fmt.Println(line)
		if guard.ends >= endsOfFault {
			machines++
		}
	}
	line := fmt.Sprintf("requests: %d served, %d refused, %d ended without an answer, %d without a connection", counts.served, counts.refused, counts.cut, counts.no)
	s.note("%s", line)
	fmt.Println(line)
	switch {
	case counts.served == 0:
		s.fail("no request was served")
	case machines >= machinesOfFault:
		s.end(exitBroken)
	}
	s.end(exitHeld)
}
