package journal

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/siteservices"
)

// logModel is a log stream with racing writers: each acts on what it last read, and
// appends may be written once, twice, late or never.
type logModel struct {
	records [][]byte
	delayed [][]byte
	writers []*logWriter
	ids     uint64
	// accepted is the owner of each epoch according to the stream's order.
	accepted map[identity.Epoch]identity.NodeName
	// epoch and state are what an independent reader gets from the stream.
	epoch identity.Epoch
	state []byte
}

// logWriter is one node that has applied a prefix of the stream.
type logWriter struct {
	node   identity.Node
	ledger *StreamState
	// epoch is the claim that it takes for its own; written is its last index there.
	epoch   identity.Epoch
	written uint64
}

func newLogModel() *logModel {
	model := &logModel{accepted: map[identity.Epoch]identity.NodeName{}}
	for i := range 3 {
		name := identity.NodeName(fmt.Sprintf("n%d", i))
		model.writers = append(model.writers, &logWriter{
			node: identity.Node{Name: name, Incarnation: 1}, ledger: NewStreamState(0, 0),
		})
	}
	return model
}

func (m *logModel) newID() RecordID {
	m.ids++
	return RecordID{byte(m.ids >> 16), byte(m.ids >> 8), byte(m.ids)}
}

// send writes a record with a random outcome.
func (m *logModel) send(t *rapid.T, record *Record) {
	raw := record.Encode()
	switch rapid.SampledFrom([]string{"lands", "lands", "lands", "lost", "late", "twice"}).Draw(t, "fate") {
	case "lands":
		m.land(raw)
	case "late":
		m.delayed = append(m.delayed, raw)
	case "twice":
		m.land(raw)
		m.delayed = append(m.delayed, raw)
	}
}

// land appends raw and updates the model's own state: a claim counts if its epoch is
// one above the highest, a batch if it is under the current claim and has records
// after those that count already.
func (m *logModel) land(raw []byte) {
	m.records = append(m.records, raw)
	record, _ := DecodeRecord(raw)
	switch record.Kind {
	case ClaimRecord:
		if record.Epoch == m.epoch+1 {
			m.epoch = record.Epoch
			m.accepted[record.Epoch] = record.Claim.Owner.Name
		}
	case BatchRecord:
		if record.Epoch != m.epoch {
			return
		}
		for i, entry := range record.Entries {
			if int(record.Index)+i == len(m.state) {
				m.state = append(m.state, entry[0])
			}
		}
	case SnapshotRecord:
		if record.Epoch == m.epoch && int(record.Index) > len(m.state) {
			m.state = slices.Clone(record.State)
		}
	}
}

func (m *logModel) writer(t *rapid.T) *logWriter {
	return m.writers[rapid.IntRange(0, len(m.writers)-1).Draw(t, "writer")]
}

// read lets a writer apply more of the stream.
func (m *logModel) read(t *rapid.T) {
	w := m.writer(t)
	count := rapid.IntRange(0, len(m.records)-int(w.ledger.Next())).Draw(t, "count")
	for range count {
		w.ledger.Apply(m.records[w.ledger.Next()])
	}
	current := w.ledger.Current()
	if current.Owner.Name == w.node.Name && current.Epoch != w.epoch {
		w.epoch, w.written = current.Epoch, w.ledger.Index()
	}
}

func (m *logModel) claim(t *rapid.T) {
	w := m.writer(t)
	epoch := w.ledger.Current().Epoch + 1
	m.send(t, &Record{
		Kind: ClaimRecord, ID: m.newID(), Epoch: epoch, Base: w.ledger.Base(),
		Claim: Claim{Epoch: epoch, TailFrom: epoch, Owner: w.node, Replicas: []identity.Node{w.node}},
	})
}

// batch writes under the claim that the writer takes for its own, which may be that
// of a former owner.
func (m *logModel) batch(t *rapid.T) {
	w := m.writer(t)
	if w.epoch == 0 {
		return
	}
	back := rapid.Uint64Range(0, min(w.written, 2)).Draw(t, "back")
	entry := []byte{byte(w.epoch)}
	record := &Record{Kind: BatchRecord, ID: m.newID(), Epoch: w.epoch, Base: w.ledger.Base(), Index: w.written - back}
	for range back + 1 {
		record.Entries = append(record.Entries, entry)
	}
	m.send(t, record)
	// A correct writer continues only after it read its record back.
	if len(m.records) > 0 && slices.Equal(m.records[len(m.records)-1], record.Encode()) && w.epoch == m.epoch {
		w.written++
	}
}

func (m *logModel) snapshot(t *rapid.T) {
	w := m.writer(t)
	if w.epoch == 0 || w.epoch != m.epoch || int(w.written) != len(m.state) {
		return
	}
	m.send(t, &Record{
		Kind: SnapshotRecord, ID: m.newID(), Epoch: w.epoch, Base: w.ledger.Base(), Index: w.written,
		State: slices.Clone(m.state), Claim: w.ledger.Current(), Active: w.ledger.Active(),
	})
}

func (m *logModel) arrive(*rapid.T) {
	if len(m.delayed) > 0 {
		m.land(m.delayed[0])
		m.delayed = m.delayed[1:]
	}
}

// foldWith applies the stream from base, with each record modified by change.
func (m *logModel) foldWith(base siteservices.Offset, change func(*StreamState, *Record)) (*StreamState, []byte) {
	ledger := NewStreamState(0, base)
	var state []byte
	for _, raw := range m.records[base:] {
		if change != nil {
			record, _ := DecodeRecord(raw)
			change(ledger, &record)
			raw = record.Encode()
		}
		step := ledger.Apply(raw)
		if step.Restore {
			state = slices.Clone(step.State)
		}
		for _, entry := range step.Entries {
			state = append(state, entry[0])
		}
	}
	return ledger, state
}

func (m *logModel) check(t *rapid.T) {
	if err := m.compare(nil); err != nil {
		t.Fatal(err)
	}
}

// compare compares the ledger with the model's own state, from the start of the
// stream and from the base that the ledger reports.
func (m *logModel) compare(change func(*StreamState, *Record)) error {
	ledger, state := m.foldWith(0, change)
	if ledger.Current().Epoch != m.epoch || ledger.Current().Owner.Name != m.accepted[m.epoch] {
		return fmt.Errorf("epoch %d of %s, want %d of %s", ledger.Current().Epoch,
			ledger.Current().Owner.Name, m.epoch, m.accepted[m.epoch])
	}
	if !slices.Equal(state, m.state) {
		return fmt.Errorf("state %v, want %v", state, m.state)
	}
	short, state := m.foldWith(ledger.Base(), change)
	if short.Current().Epoch != m.epoch || short.Index() != ledger.Index() || !slices.Equal(state, m.state) {
		return fmt.Errorf("from base %d: state %v, want %v", ledger.Base(), state, m.state)
	}
	return nil
}

func (m *logModel) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"read": m.read, "claim": m.claim, "batch": m.batch, "snapshot": m.snapshot, "arrive": m.arrive,
	}
}

func TestLedgerFollowsLogOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newLogModel()
		actions := model.actions()
		actions[""] = model.check
		t.Repeat(actions)
	})
}

// TestLedgerChecksDetectFaults checks that the comparison detects faulty variants,
// which accept records of former owners or claims of any epoch.
func TestLedgerChecksDetectFaults(t *testing.T) {
	for name, change := range map[string]func(*StreamState, *Record){
		"no fencing": func(l *StreamState, r *Record) {
			if r.Kind == BatchRecord {
				r.Epoch = l.Current().Epoch
			}
		},
		"last claim wins": func(l *StreamState, r *Record) {
			if r.Kind == ClaimRecord {
				r.Epoch = l.Current().Epoch + 1
				r.Claim.Epoch = r.Epoch
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			caught := search(func() (map[string]func(*rapid.T), func() error) {
				model := newLogModel()
				return model.actions(), func() error { return model.compare(change) }
			})
			if caught == "" {
				t.Error("not caught")
			}
			t.Log(caught)
		})
	}
}

// search runs models with random actions until a check fails, and returns the
// failure, or an empty string.
func search(start func() (actions map[string]func(*rapid.T), check func() error)) string {
	for seed := range 300 {
		found := rapid.Custom(func(t *rapid.T) string {
			actions, check := start()
			found := ""
			guarded := map[string]func(*rapid.T){"": func(*rapid.T) {
				if err := check(); err != nil && found == "" {
					found = err.Error()
				}
			}}
			for name, action := range actions {
				guarded[name] = func(t *rapid.T) {
					if found == "" {
						action(t)
					}
				}
			}
			t.Repeat(guarded)
			return found
		}).Example(seed)
		if found != "" {
			return found
		}
	}
	return ""
}
