package journal

import (
	"encoding/binary"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/identity"
)

// replicaModel drives one replica with owners whose messages may be late or
// duplicated.
type replicaModel struct {
	replica Replica
	now     time.Time
	terms   LeaseTerms
	// owner is the current owner; its log has all records up to logged.
	owner    identity.Reference
	epoch    identity.Epoch
	tailFrom identity.Epoch
	records  []uint64
	logged   uint64
	// acked is the last record that the replica confirmed to this owner.
	acked uint64
	// sent are messages that may be delivered again.
	sent []Write
	// promised and granted are what the replica reported.
	promised identity.Epoch
	granted  time.Time
	// forget enables a fault: the promise is lost before each message.
	forget bool
	// replace enables a fault: every full tail replaces the tail at the replica.
	replace bool
}

func newReplicaModel() *replicaModel {
	return &replicaModel{
		now: time.Unix(1000, 0), terms: LeaseTerms{Duration: time.Second, Drift: 100 * time.Millisecond},
		owner: identity.Reference{Name: "n1", Incarnation: 1}, epoch: 1, tailFrom: 1,
	}
}

func (m *replicaModel) tail(after uint64) Tail {
	tail := Tail{After: after}
	for _, record := range m.records[after:] {
		tail.Entries = append(tail.Entries, binary.BigEndian.AppendUint64(nil, record))
	}
	return tail
}

func (m *replicaModel) write(t *rapid.T) {
	for range rapid.IntRange(0, 3).Draw(t, "records") {
		m.records = append(m.records, uint64(m.epoch)<<32|uint64(len(m.records)))
	}
	whole := m.acked == 0 || rapid.Bool().Draw(t, "whole")
	after := m.logged
	if !whole {
		after = max(m.acked, m.logged)
	}
	write := Write{
		Epoch: m.epoch, Owner: m.owner, TailFrom: m.tailFrom, Full: whole,
		Tail: m.tail(after), Logged: m.logged,
	}
	m.sent = append(m.sent, write)
	if !rapid.Bool().Draw(t, "arrives") {
		return
	}
	if answer := m.deliver(write); answer.Status == Granted {
		m.acked = max(m.acked, write.Tail.Last())
	}
}

func (m *replicaModel) deliver(write Write) WriteResponse {
	if m.forget {
		m.replica.promised = 0
	}
	if m.replace && write.Full && write.Epoch >= m.replica.promised {
		m.replica.tail = Tail{}
	}
	return m.replica.Append(write)
}

// again delivers any earlier message once more.
func (m *replicaModel) again(t *rapid.T) {
	if len(m.sent) == 0 {
		return
	}
	write := m.sent[rapid.IntRange(0, len(m.sent)-1).Draw(t, "message")]
	write.Tail.Entries = slices.Clone(write.Tail.Entries)
	m.deliver(write)
}

// log writes some records to the log; a renewal reports it to the replica.
func (m *replicaModel) log(t *rapid.T) {
	m.logged += rapid.Uint64Range(0, uint64(len(m.records))-m.logged).Draw(t, "logged")
	renewal := Renewal{Epoch: m.epoch, Logged: m.logged}
	if m.replica.Renew(m.now, m.owner, renewal, m.terms) == Granted {
		m.granted = m.now.Add(m.terms.ReplicaDuration())
	}
}

func (m *replicaModel) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "milliseconds")) * time.Millisecond)
}

// replaceOwner lets a claimant get a promise and continue from what it recovered.
func (m *replicaModel) replaceOwner(t *rapid.T) {
	epoch := m.epoch + identity.Epoch(rapid.IntRange(1, 2).Draw(t, "epochs"))
	promise := m.replica.Promise(m.now, epoch)
	if promise.Status != Granted {
		t.Fatalf("a promise of epoch %d was refused", epoch)
	}
	if err := m.checkPromise(promise); err != nil {
		t.Fatal(err)
	}
	held := m.logged
	if promise.TailEpoch >= m.tailFrom {
		held = max(held, promise.Tail.Last())
	}
	m.records = m.records[:held]
	m.logged, m.acked = held, 0
	m.epoch, m.tailFrom, m.promised = epoch, epoch, epoch
	m.owner = identity.Reference{Name: "n2", Incarnation: identity.Incarnation(epoch)}
}

func (m *replicaModel) checkPromise(promise Promise) error {
	if promise.Remaining < m.granted.Sub(m.now) {
		return fmt.Errorf("remaining %v of a lease until %v", promise.Remaining, m.granted.Sub(m.now))
	}
	if promise.TailEpoch < m.tailFrom {
		if m.acked > m.logged {
			return fmt.Errorf("record %d was confirmed, tail of epoch %d", m.acked, promise.TailEpoch)
		}
		return nil
	}
	if last := promise.Tail.Last(); last < m.acked {
		return fmt.Errorf("record %d was confirmed, tail ends at %d", m.acked, last)
	}
	if promise.Tail.After > m.logged {
		return fmt.Errorf("tail begins at %d, the log ends at %d", promise.Tail.After, m.logged)
	}
	for i, entry := range promise.Tail.Entries {
		if want := m.records[promise.Tail.After+uint64(i)]; binary.BigEndian.Uint64(entry) != want {
			return fmt.Errorf("record %d is of another ownership", promise.Tail.After+uint64(i)+1)
		}
	}
	return nil
}

func (m *replicaModel) check() error {
	if m.replica.Promised() < m.promised {
		return fmt.Errorf("promised %d, now %d", m.promised, m.replica.Promised())
	}
	return m.checkPromise(m.replica.Promise(m.now, m.replica.Promised()))
}

func (m *replicaModel) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"write": m.write, "again": m.again, "log": m.log, "wait": m.wait, "replace owner": m.replaceOwner,
	}
}

func TestReplicaRetainsConfirmedRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newReplicaModel()
		actions := model.actions()
		actions[""] = func(t *rapid.T) {
			if err := model.check(); err != nil {
				t.Fatal(err)
			}
		}
		t.Repeat(actions)
	})
}

// TestReplicaChecksDetectFaults checks that the model detects faulty variants.
func TestReplicaChecksDetectFaults(t *testing.T) {
	for name, spoil := range map[string]func(*replicaModel){
		"promise forgotten":         func(m *replicaModel) { m.forget = true },
		"late whole tail takes all": func(m *replicaModel) { m.replace = true },
	} {
		t.Run(name, func(t *testing.T) {
			caught := search(func() (map[string]func(*rapid.T), func() error) {
				model := newReplicaModel()
				spoil(model)
				return model.actions(), model.check
			})
			if caught == "" {
				t.Error("not caught")
			}
			t.Log(caught)
		})
	}
}
