package operator

import (
	"time"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/table"
	"stepseam.example/stepseam/internal/wire"
	"stepseam.example/stepseam/internal/wire/apiwire"
)

// The message kinds of this package.
const (
	kindStatusRequest = peer.KindRangeOperator + 1 + iota
	kindStatusReply
	kindListRequest
	kindListReply
	kindExplainRequest
	kindExplainReply
	kindDrainRequest
	kindDrainReply
)

// The minimum encoded sizes of list elements, which bound the length of decoded lists.
const (
	smallestText      = 4
	smallestCandidate = 16
	smallestProgram   = 64
)

// statusRequest queries a node for its NodeStatus.
type statusRequest struct{}

func (*statusRequest) Kind() peer.Kind      { return kindStatusRequest }
func (*statusRequest) Encode(*wire.Encoder) {}
func (*statusRequest) Decode(*wire.Decoder) {}

// statusReply answers a statusRequest.
type statusReply struct{ status NodeStatus }

func (*statusReply) Kind() peer.Kind { return kindStatusReply }

func (m *statusReply) Encode(e *wire.Encoder) {
	e.String(m.status.Name)
	e.String(m.status.Zone)
	e.String(m.status.Region)
	e.Uint64(m.status.Incarnation)
	e.Bool(m.status.Ready)
	encodeTexts(e, m.status.NotReady)
	e.Bool(m.status.Draining)
	e.Uint64(uint64(m.status.TableInForce))
	e.Uint64(uint64(m.status.TableKnown))
	e.String(m.status.LogFailure)
	e.Uint32(uint32(m.status.Shards))
}

func (m *statusReply) Decode(d *wire.Decoder) {
	m.status = NodeStatus{
		Name: d.String(), Zone: d.String(), Region: d.String(), Incarnation: d.Uint64(),
		Ready: d.Bool(), NotReady: decodeTexts(d), Draining: d.Bool(),
		TableInForce: table.Version(d.Uint64()), TableKnown: table.Version(d.Uint64()),
		LogFailure: d.String(), Shards: int(d.Uint32()),
	}
}

func encodeTexts(e *wire.Encoder, texts []string) {
	e.Uint32(uint32(len(texts)))
	for _, text := range texts {
		e.String(text)
	}
}

func decodeTexts(d *wire.Decoder) []string {
	var texts []string
	for range d.Count(smallestText) {
		texts = append(texts, d.String())
	}
	return texts
}

// selection is a filter for programs. Empty fields match all.
type selection struct {
	tenant string
	class  string
	state  api.ProgramState
	limit  int
}

func (s selection) matches(p api.Program) bool {
	return (s.tenant == "" || s.tenant == p.Tenant) &&
		(s.class == "" || s.class == p.Class) &&
		(s.state == "" || s.state == p.State)
}

// listRequest queries a node for programs of the shards it owns.
type listRequest struct{ selection selection }

func (*listRequest) Kind() peer.Kind { return kindListRequest }

func (m *listRequest) Encode(e *wire.Encoder) {
	e.String(m.selection.tenant)
	e.String(m.selection.class)
	e.String(string(m.selection.state))
	e.Uint32(uint32(m.selection.limit))
}

func (m *listRequest) Decode(d *wire.Decoder) {
	m.selection = selection{tenant: d.String(), class: d.String(), state: api.ProgramState(d.String()), limit: int(d.Uint32())}
}

// listReply answers a listRequest.
type listReply struct {
	programs  []api.Program
	truncated bool
}

func (*listReply) Kind() peer.Kind { return kindListReply }

func (m *listReply) Encode(e *wire.Encoder) {
	e.Bool(m.truncated)
	e.Uint32(uint32(len(m.programs)))
	for i := range m.programs {
		apiwire.EncodeProgram(e, &m.programs[i])
	}
}

func (m *listReply) Decode(d *wire.Decoder) {
	m.truncated = d.Bool()
	for range d.Count(smallestProgram) {
		m.programs = append(m.programs, apiwire.DecodeProgram(d))
	}
}

// explainRequest queries a node for its last decision on a call.
type explainRequest struct{ call identity.CallID }

func (*explainRequest) Kind() peer.Kind { return kindExplainRequest }

func (m *explainRequest) Encode(e *wire.Encoder) {
	e.String(string(m.call.Program))
	e.String(string(m.call.Branch))
	e.Uint64(uint64(m.call.Sequence))
}

func (m *explainRequest) Decode(d *wire.Decoder) {
	m.call = identity.CallID{
		Program: identity.ProgramID(d.String()), Branch: identity.BranchID(d.String()), Sequence: identity.Sequence(d.Uint64()),
	}
}

// explainReply answers an explainRequest; explanation is nil if there is none.
type explainReply struct{ explanation *Explanation }

func (*explainReply) Kind() peer.Kind { return kindExplainReply }

func (m *explainReply) Encode(e *wire.Encoder) {
	e.Bool(m.explanation != nil)
	if m.explanation == nil {
		return
	}
	x := m.explanation
	e.String(x.Program)
	e.String(x.Branch)
	e.Uint64(x.Sequence)
	e.String(x.Node)
	e.Time(x.At)
	e.Int64(int64(x.Attempt))
	e.String(x.Action)
	e.String(x.Backend)
	e.String(x.Reason)
	e.Duration(time.Duration(x.RetryAfterSeconds * float64(time.Second)))
	e.Uint32(uint32(len(x.Candidates)))
	for _, candidate := range x.Candidates {
		e.String(candidate.Backend)
		e.Float64(candidate.CostSeconds)
		e.String(candidate.Note)
	}
}

func (m *explainReply) Decode(d *wire.Decoder) {
	if !d.Bool() {
		return
	}
	x := &Explanation{
		Program: d.String(), Branch: d.String(), Sequence: d.Uint64(), Node: d.String(), At: d.Time(),
		Attempt: int(d.Int64()), Action: d.String(), Backend: d.String(), Reason: d.String(),
		RetryAfterSeconds: d.Duration().Seconds(), Candidates: []Candidate{},
	}
	for range d.Count(smallestCandidate) {
		x.Candidates = append(x.Candidates, Candidate{Backend: d.String(), CostSeconds: d.Float64(), Note: d.String()})
	}
	m.explanation = x
}

// drainRequest makes a node start its planned stop.
type drainRequest struct{}

func (*drainRequest) Kind() peer.Kind      { return kindDrainRequest }
func (*drainRequest) Encode(*wire.Encoder) {}
func (*drainRequest) Decode(*wire.Decoder) {}

// drainReply confirms a drainRequest.
type drainReply struct{}

func (*drainReply) Kind() peer.Kind      { return kindDrainReply }
func (*drainReply) Encode(*wire.Encoder) {}
func (*drainReply) Decode(*wire.Decoder) {}
