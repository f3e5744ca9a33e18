package scale

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"syscall"
	"time"
)

// totals sums up what nodes did since their starts.
type totals struct {
	at                      time.Time
	processor               time.Duration
	datagrams, peers        Flow
	logRequests, logAppends int64
	logBytes, polls         int64
	claims, replacements    uint64
	suspicions, deaths      uint64
}

func (t *totals) add(node *hollow) {
	traffic := node.members.Traffic()
	t.datagrams.SentMessages += int64(traffic.SentMessages)
	t.datagrams.SentBytes += int64(traffic.SentBytes)
	t.datagrams.ReceivedMessages += int64(traffic.ReceivedMessages)
	t.datagrams.ReceivedBytes += int64(traffic.ReceivedBytes)
	peers := node.link.Peers()
	t.peers.SentMessages += peers.SentMessages
	t.peers.SentBytes += peers.SentBytes
	t.peers.ReceivedMessages += peers.ReceivedMessages
	t.peers.ReceivedBytes += peers.ReceivedBytes
	t.logRequests += node.log.requests.Load()
	t.logAppends += node.log.appends.Load()
	t.logBytes += node.log.bytes.Load()
	t.polls += node.polls.polls.Load()
	stats := node.journal.Stats()
	t.claims += stats.Claims
	t.replacements += stats.Replacements
	statistics := node.members.Statistics()
	t.suspicions += statistics.Suspicions
	t.deaths += statistics.Deaths
}

// totals sums up the whole site, ended lives included.
func (c *cluster) totals() totals {
	sum := c.past
	for _, node := range c.running() {
		sum.add(node)
	}
	sum.at, sum.processor = time.Now(), processorTime()
	return sum
}

// processorTime is what this process has used of all cores. It includes the log
// stand-in and the measuring itself, so figures from it are upper bounds.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Usage is what one node used per second over a window, as the mean over nodes.
type Usage struct {
	Seconds float64 `json:"seconds"`
	// ProcessorShare is the share of one core.
	ProcessorShare float64 `json:"processor_share"`
	// Bytes are payload: IP, UDP and TCP headers come on top. Of the back-end
	// polls only the number is real; their bytes are not in here.
	SentBytes         float64 `json:"sent_bytes_per_s"`
	ReceivedBytes     float64 `json:"received_bytes_per_s"`
	SentMessages      float64 `json:"sent_messages_per_s"`
	ReceivedMessages  float64 `json:"received_messages_per_s"`
	MembershipBytes   float64 `json:"membership_sent_bytes_per_s"`
	MembershipPackets float64 `json:"membership_sent_datagrams_per_s"`
	PeerBytes         float64 `json:"peer_sent_bytes_per_s"`
	PeerMessages      float64 `json:"peer_sent_messages_per_s"`
	LogRequests       float64 `json:"log_requests_per_s"`
	LogBytes          float64 `json:"log_bytes_per_s"`
	BackendPolls      float64 `json:"backend_polls_per_s"`
	// SiteClaims and SiteLogAppends are of the whole site.
	SiteClaims     float64 `json:"site_claims_per_s"`
	SiteLogAppends float64 `json:"site_log_appends_per_s"`
	// Suspicions and Deaths are the site's events of the window; one accusation
	// counts at each node that takes it over.
	Suspicions uint64 `json:"suspicions"`
	Deaths     uint64 `json:"deaths"`
}

// usageBetween returns the use per node between two moments.
func usageBetween(before, after totals, nodes int) Usage {
	seconds := after.at.Sub(before.at).Seconds()
	perNode := func(from, to int64) float64 { return float64(to-from) / seconds / float64(nodes) }
	usage := Usage{
		Seconds:           seconds,
		ProcessorShare:    (after.processor - before.processor).Seconds() / seconds / float64(nodes),
		MembershipBytes:   perNode(before.datagrams.SentBytes, after.datagrams.SentBytes),
		MembershipPackets: perNode(before.datagrams.SentMessages, after.datagrams.SentMessages),
		PeerBytes:         perNode(before.peers.SentBytes, after.peers.SentBytes),
		PeerMessages:      perNode(before.peers.SentMessages, after.peers.SentMessages),
		LogRequests:       perNode(before.logRequests, after.logRequests),
		LogBytes:          perNode(before.logBytes, after.logBytes),
		BackendPolls:      perNode(before.polls, after.polls),
		SiteClaims:        float64(after.claims-before.claims) / seconds,
		SiteLogAppends:    float64(after.logAppends-before.logAppends) / seconds,
		Suspicions:        after.suspicions - before.suspicions,
		Deaths:            after.deaths - before.deaths,
	}
	usage.SentBytes = usage.MembershipBytes + usage.PeerBytes
	usage.SentMessages = usage.MembershipPackets + usage.PeerMessages
	usage.ReceivedBytes = perNode(before.datagrams.ReceivedBytes+before.peers.ReceivedBytes,
		after.datagrams.ReceivedBytes+after.peers.ReceivedBytes)
	usage.ReceivedMessages = perNode(before.datagrams.ReceivedMessages+before.peers.ReceivedMessages,
		after.datagrams.ReceivedMessages+after.peers.ReceivedMessages)
	return usage
}

// heapInUse is what is live on the heap and on stacks, after a collection.
func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// memoryField returns a field of a /proc file in bytes, such as VmRSS.
func memoryField(path, name string) (uint64, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return 0, fmt.Errorf("scale: %w", err)
	}
	lines := bufio.NewScanner(bytes.NewReader(content))
	for lines.Scan() {
		fields := bytes.Fields(lines.Bytes())
		if len(fields) >= 2 && string(fields[0]) == name+":" {
			kibibytes, err := strconv.ParseUint(string(fields[1]), 10, 64)
			if err != nil {
				return 0, fmt.Errorf("scale: %s in %s: %w", name, path, err)
			}
			const kibibyte = 1024
			return kibibytes * kibibyte, nil
		}
	}
	return 0, fmt.Errorf("scale: no %s in %s", name, path)
}

// checkMemory fails once this process holds half of the machine's memory.
func checkMemory() error {
	resident, err := memoryField("/proc/self/status", "VmRSS")
	if err != nil {
		return err
	}
	whole, err := memoryField("/proc/meminfo", "MemTotal")
	if err != nil {
		return err
	}
	if resident > whole/2 {
		return fmt.Errorf("scale: %d MB resident is more than half of the machine's %d MB", resident>>20, whole>>20)
	}
	return nil
}
