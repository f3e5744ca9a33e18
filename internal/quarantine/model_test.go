package quarantine

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"stepseam.example/stepseam/internal/emulator/nodes"
	"stepseam.example/stepseam/internal/identity"
)

const lateAfter = 250 * time.Millisecond

// model plays a lethal request over random faults.
type model struct {
	*cluster
	// random draws what the client does, others what bystanders do, and faults what else happens.
	random, others, faults *rand.Rand
	request                *Request
	// ends counts the replicas that ended under the request. unknown counts those of attempts that a
	// majority could not know of, since their node was killed or cut off before it could tell.
	ends, unknown int
	// cutSends counts the sends of nodes that could reach only a minority within contactTime, late those that began more
	// than settleTime after the third end.
	cutSends, late int
	thirdEnd       time.Duration
	// minorityUntil is when nodes could last reach only a minority.
	minorityUntil map[identity.NodeName]time.Duration
	// started is the number of replicas so far. silent is set if some of them lose power. instances is
	// the number of instances, of which others start again under the same name; 0 means that each
	// replica has a name of its own.
	started, instances int
	silent             bool
	// losses lets all nodes be lost, at once or one half after the other, and the log be away. awayAt is
	// when it last was.
	losses bool
	awayAt time.Duration
	// refused tells of bystanders that were refused wrongly.
	refused []string
	// trace tells what happened.
	trace []string
}

func (m *model) note(format string, values ...any) {
	m.change(func() {
		m.trace = append(m.trace, fmt.Sprintf("%v "+format, append([]any{m.now().Round(time.Millisecond)}, values...)...))
	})
}

// minority reports whether a node is in a partition without a majority of the nodes.
func (m *model) minority(node *testNode) bool {
	return 2*len(m.View(m.PartitionOf(node.Name)).Members) <= m.count
}

// contactTime is how long after a cut a node may not know yet what others know.
const contactTime = 3 * time.Second

// wasCut reports whether a node could reach only a minority within contactTime.
func (m *model) wasCut(node *testNode) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	until, found := m.minorityUntil[node.Name]
	return found && m.now() < until+contactTime
}

// noteMinorities notes which nodes can reach only a minority, before that changes.
func (m *model) noteMinorities(count int) {
	for i := range count {
		if node := m.node(i); m.minority(node) {
			m.change(func() { m.minorityUntil[node.Name] = m.now() })
		}
	}
}

// send makes one attempt at a new replica, which ends. It returns false if the node did not send.
func (m *model) send(node *testNode) bool {
	chosen := m.nextReplica()
	service := node.service
	send := Send{Replica: chosen, Began: service.config.Now(), Until: service.config.Now() + 4*time.Second}
	registered, err := service.Begin(context.Background(), m.request, send, Attempt{})
	if err != nil || node.Down() {
		return false
	}
	if m.minority(node) || m.wasCut(node) {
		m.cutSends++
	}
	if m.ends >= MaxEnded && m.now() > m.thirdEnd+lateAfter {
		m.late++
	}
	time.Sleep(time.Duration(m.random.IntN(40)) * time.Millisecond)
	silent := m.silent && m.random.IntN(2) == 0
	m.end(chosen, silent)
	m.countEnd()
	m.note("end %d, under an attempt of %s, registered %t, silent %t, known there %v", m.ends, node.Name, registered != Attempt{}, silent, service.EndsOf(m.request.Key))
	switch {
	case silent && registered != Attempt{} && m.random.IntN(3) == 0:
		send.Silence = minSilence / 2 // its client has little time left
	case silent:
		send.Silence = 2 * time.Second
	case m.silent && m.random.IntN(4) == 0:
		send.Silence = 4 * heartbeat // it hung, so that its entry lapsed before it ended
	}
	time.Sleep(send.Silence)
	m.tell(node, send, registered, silent)
	return true
}

// nextReplica returns a replica that lives.
func (m *model) nextReplica() Replica {
	m.started++
	if m.instances == 0 {
		return m.replica(m.started)
	}
	return m.restarted(m.started % m.instances)
}

func (m *model) countEnd() {
	m.ends++
	if m.ends == MaxEnded {
		m.thirdEnd = m.now()
	}
}

// tell has a node notice the end of its replica, unless it has ended itself.
func (m *model) tell(node *testNode, send Send, registered Attempt, silent bool) {
	untold := node.Down() || m.minority(node) || m.wasCut(node)
	if untold {
		m.countUnknown(registered)
	}
	switch {
	case node.Down():
	case silent && !untold && m.losses:
		node.service.Silent(m.request, send, registered, replicaAddress(send.Replica.Instance))
		time.AfterFunc(hearTime+callTime+2*appendTime, func() {
			if node.Down() {
				m.countUnknown(registered)
			}
		})
	case silent:
		node.service.Silent(m.request, send, registered, replicaAddress(send.Replica.Instance))
		time.AfterFunc(hearTime+callTime, func() {
			if !untold && node.Down() {
				m.countUnknown(registered)
			}
		})
	default:
		node.service.Broke(context.Background(), m.request, send, registered, replicaAddress(send.Replica.Instance), errReset)
		if !untold && node.Down() {
			m.countUnknown(registered)
		}
	}
}

// countUnknown counts the end of an attempt that no other node knows of, unless it is registered.
func (m *model) countUnknown(registered Attempt) {
	if registered == (Attempt{}) || !m.request.Identified {
		m.change(func() { m.unknown++ })
	}
}

// client sends the request again and again, to any node.
func (m *model) client(count int) {
	for range 10 {
		node := m.node(m.random.IntN(count))
		for range 1 + m.random.IntN(3) {
			if node.Down() || node.service.Check(m.request) != nil || !m.send(node) {
				break
			}
		}
		time.Sleep(time.Duration(20+m.random.IntN(400)) * time.Millisecond)
	}
}

// fault kills, cuts off or restarts nodes.
func (m *model) fault(count int) {
	m.noteMinorities(count)
	kinds := 3
	if m.losses {
		kinds = 6
	}
	switch m.faults.IntN(kinds) {
	case 3:
		m.loseAll(count)
	case 4:
		m.loseHalves(count)
	case 5:
		m.leave()
	case 0:
		for range 1 + m.faults.IntN(max(count/2-1, 1)) {
			killed := m.node(m.faults.IntN(count))
			if m.up()*2 > count+2 {
				m.note("%s is killed", killed.Name)
				m.stop(killed)
			}
		}
	case 1:
		for i := range count {
			m.Cut(nodes.Name(i), m.faults.IntN(2))
		}
	default:
		m.Heal()
		for i := range count {
			if node := m.node(i); node.Down() {
				m.start(i)
			}
		}
	}
	m.note("%d nodes run, partitions are %s", m.up(), m.partitions())
	time.Sleep(time.Duration(m.faults.IntN(1500)) * time.Millisecond)
	m.shareView()
}

// leave makes the log unavailable for a while.
func (m *model) leave() {
	m.note("the log is away")
	m.setAway(true)
	time.AfterFunc(time.Duration(m.faults.IntN(3000))*time.Millisecond, func() {
		m.note("the log is back")
		m.awayAt = m.now()
		m.setAway(false)
	})
}

// backTime is how long after an outage of the log what nodes know may not be stored yet.
const backTime = maxAppendPause*3/2 + appendTimeout

// countUnstored counts the ends that are lost with all nodes since the log was away.
func (m *model) countUnstored(count int) {
	if !m.away.Load() && m.now() > m.awayAt+backTime {
		return
	}
	known := 0
	for i := range count {
		known = max(known, len(m.node(i).service.EndsOf(m.request.Key)))
	}
	kept := 0
	for _, key := range m.log.Keys(endsPartition) {
		if strings.HasPrefix(key, m.request.Key.String()) {
			kept++
		}
	}
	m.unknown += max(known-kept, 0)
}

// loseAll ends all nodes at the same time, and starts others.
func (m *model) loseAll(count int) {
	m.note("all nodes are killed")
	m.countUnstored(count)
	for i := range count {
		m.stop(m.node(i))
	}
	time.Sleep(time.Duration(m.faults.IntN(500)) * time.Millisecond)
	m.Heal()
	for i := range count {
		m.start(i)
	}
	m.shareViewSoon()
}

// shareViewSoon lets nodes that have just started learn of each other.
func (m *model) shareViewSoon() {
	time.AfterFunc(time.Duration(m.faults.IntN(600))*time.Millisecond, m.shareView)
}

// loseHalves ends one half of the nodes after the other. The first has started again by then.
func (m *model) loseHalves(count int) {
	m.note("half of the nodes are killed")
	m.countUnstored(count)
	for i := range count / 2 {
		m.stop(m.node(i))
	}
	time.Sleep(time.Duration(m.faults.IntN(300)) * time.Millisecond)
	for i := range count / 2 {
		m.start(i)
	}
	m.shareViewSoon()
	time.Sleep(time.Duration(m.faults.IntN(600)) * time.Millisecond)
	m.note("the other half is killed")
	m.countUnstored(count)
	for i := count / 2; i < count; i++ {
		m.stop(m.node(i))
	}
	time.Sleep(time.Duration(m.faults.IntN(300)) * time.Millisecond)
	for i := count / 2; i < count; i++ {
		m.start(i)
	}
	m.shareViewSoon()
}

func (m *model) partitions() string {
	var partitions []int
	for i := range m.count {
		partitions = append(partitions, m.PartitionOf(nodes.Name(i)))
	}
	return fmt.Sprint(partitions)
}

func (m *model) up() int {
	up := 0
	for i := range m.count {
		if !m.node(i).Down() {
			up++
		}
	}
	return up
}

func (m *model) run(count int) {
	done := make(chan struct{})
	stop := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(m.faults.IntN(2000)) * time.Millisecond):
				m.fault(count)
			}
		}
	}()
	bystanders := make(chan struct{})
	go func() {
		defer close(bystanders)
		for number := range 20 {
			m.bystander(count, number)
		}
	}()
	for range 3 {
		m.client(count)
	}
	<-bystanders
	close(stop)
	<-done
}

// firstBystander is the number of the first replica that is a bystander's.
const firstBystander = 1000

// bystander makes attempts at another request, whose connections are reset while their replicas live.
// The replicas of every other one end by themselves, fewer than MaxEnded.
func (m *model) bystander(count, number int) {
	request := requestOf(fmt.Sprint("bystander", number), true)
	ends := number % 2 * (MaxEnded - 1)
	for try := range 5 {
		node := m.node(m.others.IntN(count))
		err := node.service.Check(request)
		quarantined, unclear := errors.Is(err, ErrQuarantined), errors.Is(err, ErrUnclear)
		if quarantined || unclear && ends == 0 {
			m.change(func() {
				m.refused = append(m.refused, fmt.Sprintf("%v bystander %d with %d ends at %s: %v %v", m.now(), number, ends, node.Name, err, node.service.EndsOf(request.Key)))
			})
		}
		if err == nil && !node.Down() {
			node.attempt(request, m.replica(firstBystander+10*number+try), try >= ends)
		}
		time.Sleep(time.Duration(m.others.IntN(200)) * time.Millisecond)
	}
}

// At most MaxEnded replicas end under a request while nodes are killed, cut off and restarted, beside
// those of attempts that only a node knew of that was killed or cut off then, and of nodes that reached
// only a minority. Where replicas fall silent, a node that does not know of it yet may send the request
// within lateAfter. Bystanders are not refused.
func TestModelEndsAreBoundedUnderFaults(t *testing.T) {
	seeds := 300
	if given, err := strconv.Atoi(os.Getenv("MODEL_SEEDS")); err == nil {
		seeds = given
	}
	total, beyond := 0, 0
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			count := modelNodes[seed/2%uint64(len(modelNodes))]
			c := newCluster(count)
			defer c.close()
			m := &model{
				cluster: c, random: rand.New(rand.NewPCG(seed, 1)), faults: rand.New(rand.NewPCG(seed, 2)), others: rand.New(rand.NewPCG(seed, 3)),
				request: requestOf("p", seed%8 != 7), losses: seed%4 >= 2, silent: seed%2 == 1, instances: int(seed % 3 * 5), minorityUntil: map[identity.NodeName]time.Duration{},
			}
			m.run(count)
			total += m.ends
			beyond += max(m.ends-MaxEnded, 0)
			exempt := m.unknown + m.cutSends
			if !m.silent && m.ends > MaxEnded+exempt || m.late > exempt {
				t.Errorf("seed %d: %d replicas ended, %d sends came late; %d ends were known only to a node that was killed or cut off, %d sends were of nodes that reached a minority\n%s", seed, m.ends, m.late, m.unknown, m.cutSends, strings.Join(m.trace, "\n"))
			}
			if len(m.refused) > 0 {
				t.Errorf("seed %d: bystanders were refused:\n%s\n%s", seed, strings.Join(m.refused, "\n"), strings.Join(m.trace, "\n"))
			}
		})
	}
	t.Logf("%d runs, %d ends, %d of them beyond %d", seeds, total, beyond, MaxEnded)
}

// modelNodes are the numbers of nodes of the model's sites.
var modelNodes = []int{9, 3, 5, 13}
