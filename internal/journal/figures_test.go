package journal

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/logservice"
	"stepseam.example/stepseam/internal/identity"
)

// figuresVariable is the environment variable with the number of runs that a
// measurement uses; the default is small to keep test runs short.
const (
	figuresVariable = "FIGURES"
	defaultFigures  = 3
)

func figureRuns() int {
	if given, err := strconv.Atoi(os.Getenv(figuresVariable)); err == nil {
		return given
	}
	return defaultFigures
}

func percentile(durations []time.Duration, share float64) time.Duration {
	slices.Sort(durations)
	return durations[min(int(share*float64(len(durations))), len(durations)-1)]
}

// TestLatencyIndependentOfLog measures the latency of an append in virtual time,
// with 1.5 ms between any two nodes, and checks that a slow or unavailable log does
// not increase it.
func TestLatencyIndependentOfLog(t *testing.T) {
	for _, state := range []struct {
		name   string
		faults logservice.Faults
	}{
		{"log up, 5 ms", logservice.Faults{AppendDelay: 5 * time.Millisecond, ReadDelay: 2 * time.Millisecond}},
		{"log slow, 1 s", logservice.Faults{AppendDelay: time.Second, ReadDelay: 500 * time.Millisecond}},
		{"log down", logservice.Faults{Down: true}},
	} {
		err := scenario(t, variant{}, 6, func(site *testSite) error {
			site.log.SetFaults(state.faults)
			open := site.serving(0).host.open(0)
			var latencies []time.Duration
			for number := range uint64(200 * figureRuns()) {
				began := time.Now()
				if err := open.add(context.Background(), number, false); err != nil {
					return err
				}
				latencies = append(latencies, time.Since(began))
				time.Sleep(5 * time.Millisecond)
			}
			p50, p99 := percentile(latencies, 0.5), percentile(latencies, 0.99)
			t.Logf("%s: p50 %v p99 %v of %d", state.name, p50, p99, len(latencies))
			if p99 > 10*time.Millisecond {
				return fmt.Errorf("%s: p99 %v follows the log", state.name, p99)
			}
			return nil
		})
		if err != nil {
			t.Error(err)
		}
	}
}

// TestTakeoverTime measures the time without service after an owner's crash in
// virtual time. The membership view reports the death after one second.
func TestTakeoverTime(t *testing.T) {
	var gaps []time.Duration
	for seed := range figureRuns() {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			site := newTestSite(uint64(seed), 8)
			defer site.close()
			for i := range 6 {
				site.start(i)
			}
			time.Sleep(10*time.Second + time.Duration(seed%500)*time.Millisecond)
			is.NoErr(site.awaitServing(time.Minute))
			site.log.SetFaults(logservice.Faults{AppendDelay: 5 * time.Millisecond, ReadDelay: 2 * time.Millisecond})
			owner := site.serving(0)
			owned := owner.manager.Owned()
			owner.kill()
			time.AfterFunc(time.Second, site.refresh)
			gaps = append(gaps, site.downtimes(owned)...)
		})
	}
	t.Logf("time without service: p50 %v p99 %v max %v of %d shards", percentile(gaps, 0.5),
		percentile(gaps, 0.99), percentile(gaps, 1), len(gaps))
	if longest := percentile(gaps, 1); longest > 4*DefaultLeaseDuration {
		t.Errorf("a shard was without service for %v", longest)
	}
}

// TestInterimTakeoverTime measures the time without service after an owner's crash
// during an outage of the log, and when an interim owner steps down after it.
func TestInterimTakeoverTime(t *testing.T) {
	var deaths, returns []time.Duration
	for seed := range figureRuns() {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			site := newTestSite(uint64(seed), 8)
			defer site.close()
			for i := range 6 {
				site.start(i)
			}
			time.Sleep(10*time.Second + time.Duration(seed%500)*time.Millisecond)
			is.NoErr(site.awaitServing(time.Minute))
			site.log.SetDown(true)
			time.Sleep(10 * time.Second)
			owner := site.serving(0)
			owned := owner.manager.Owned()
			owner.kill()
			time.AfterFunc(time.Second, site.refresh)
			gaps := site.downtimes(owned)
			is.Equal(len(gaps), len(owned))
			deaths = append(deaths, gaps...)
			time.Sleep(10 * time.Second)
			site.log.SetFaults(logservice.Faults{AppendDelay: 5 * time.Millisecond, ReadDelay: 2 * time.Millisecond})
			for began := time.Now(); site.serving(owned[0]) != nil && time.Since(began) < time.Minute; {
				time.Sleep(time.Millisecond)
			}
			returns = append(returns, site.downtimes(owned[:1])...)
		})
	}
	for name, gaps := range map[string][]time.Duration{"after a death": deaths, "when the log is back": returns} {
		t.Logf("time without service %s: p50 %v p99 %v max %v of %d shards", name, percentile(gaps, 0.5),
			percentile(gaps, 0.99), percentile(gaps, 1), len(gaps))
	}
	if longest := percentile(deaths, 1); longest > interimBound {
		t.Errorf("a shard was without service for %v", longest)
	}
}

// downtimes returns how long each of shards is not served from now on. Shards that
// are not served within a minute are left out.
func (s *testSite) downtimes(shards []identity.ShardID) (gaps []time.Duration) {
	began := time.Now()
	waiting := slices.Clone(shards)
	for len(waiting) > 0 && time.Since(began) < time.Minute {
		time.Sleep(time.Millisecond)
		waiting = slices.DeleteFunc(waiting, func(id identity.ShardID) bool {
			served := s.serving(id) != nil
			if served {
				gaps = append(gaps, time.Since(began))
			}
			return served
		})
	}
	return gaps
}

// TestRecordOverhead measures how many bytes a record of 100 bytes takes in the log
// and on the network.
func TestRecordOverhead(t *testing.T) {
	const size = 100
	for _, interval := range []time.Duration{time.Millisecond, 50 * time.Millisecond} {
		err := scenario(t, variant{}, 6, func(site *testSite) error {
			owner := site.serving(0)
			shard := owner.manager.slots[0].load()
			before, stats := site.log.Counts(), owner.manager.Stats()
			_, sentBefore := owner.endpoint.Sent()
			const records = 500
			var failed error
			for range records {
				wait, err := shard.Enqueue(make([]byte, size))
				failed = errors.Join(failed, err)
				go func() { _ = wait(context.Background()) }()
				time.Sleep(interval)
			}
			time.Sleep(time.Second)
			_, sent := owner.endpoint.Sent()
			grown := site.log.Counts()
			t.Logf("one record each %v: log %.0f bytes and %.2f appends a record, network %.0f bytes a record", interval,
				float64(grown.Bytes-before.Bytes)/records, float64(grown.Appends-before.Appends)/records,
				float64(sent-sentBefore)/records)
			if owner.manager.Stats().Records-stats.Records != records {
				failed = errors.Join(failed, errors.New("records were not counted"))
			}
			return failed
		})
		if err != nil {
			t.Error(err)
		}
	}
}

// BenchmarkEnqueue measures the CPU time of the write path on one node, up to the
// fake log.
func BenchmarkEnqueue(b *testing.B) {
	site := newTestSite(1, 1)
	defer site.net.Close()
	node := site.start(0)
	for site.serving(0) == nil {
		time.Sleep(time.Millisecond)
	}
	shard := node.manager.slots[0].load()
	record := make([]byte, 100)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := shard.Enqueue(record); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	node.kill()
	<-node.done
}
