package replay

import (
	"fmt"
	"time"

	"stepseam.example/stepseam/internal/emulator/application"
	"stepseam.example/stepseam/internal/emulator/engine"
	"stepseam.example/stepseam/internal/emulator/logservice"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/trace"
)

// fail injects a failure and reverts it after its duration, or after all events if it
// has none.
func (p *player) fail(event trace.Event) {
	undo := p.failNode(event)
	if undo == nil {
		undo = p.failDependency(event)
	}
	if undo == nil {
		return
	}
	lasting, timed := event.Body.(interface{ FailureDuration() trace.Duration })
	if !timed || lasting.FailureDuration() == 0 {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.undo = append(p.undo, undo)
		return
	}
	time.Sleep(time.Duration(lasting.FailureDuration()))
	undo()
}

// named resolves a non-empty reference.
func (p *player) named(reference trace.NodeReference, line int) identity.NodeName {
	return p.resolve(reference, line, 0)
}

// failNode injects a failure of a node or of the network between nodes. It returns the
// function that reverts it, nil for other events.
func (p *player) failNode(event trace.Event) func() {
	restart := func(name identity.NodeName) func() {
		return func() {
			if err := p.site.StartNode(name); err != nil {
				p.noteFailure(event.Line, err)
			}
		}
	}
	switch body := event.Body.(type) {
	case trace.Kill:
		name := p.named(body.Node, event.Line)
		p.site.KillNode(name)
		return restart(name)
	case trace.Drain:
		name := p.named(body.Node, event.Line)
		if err := p.site.DrainNode(name); err != nil {
			p.noteFailure(event.Line, fmt.Errorf("drain of %s: %w", name, err))
		}
		return restart(name)
	case trace.Freeze:
		name := p.named(body.Node, event.Line)
		p.site.PauseNode(name)
		return func() { p.site.ResumeNode(name) }
	case trace.Cut:
		from, to := p.named(body.From, event.Line), p.named(body.To, event.Line)
		p.site.Network.Cut(from, to)
		return func() { p.site.Network.Heal(from, to) }
	case trace.CutZone:
		p.site.CutZone(body.Zone, body.Platform)
		return func() { p.site.HealZone(body.Zone) }
	}
	return nil
}

// failDependency injects a failure of the platform or of a back end. It returns the
// function that reverts it, nil for other events and for permanent changes.
func (p *player) failDependency(event trace.Event) func() {
	switch body := event.Body.(type) {
	case trace.Log:
		p.site.Log.SetFaults(logservice.Faults{
			Down: body.Down, LoseAfter: body.LoseAnswers,
			AppendDelay: time.Duration(body.AppendDelay), ReadDelay: time.Duration(body.ReadDelay),
		})
		return func() { p.site.Log.SetFaults(logservice.Faults{}) }
	case trace.Engine:
		target := p.site.Engine(body.Name)
		target.SetFaults(engine.Faults{Down: body.Down, Frozen: body.Frozen, Slow: body.Slow, LoseNext: body.LoseNext})
		return func() { target.SetFaults(engine.Faults{}) }
	case trace.RestartEngine:
		p.site.Engine(body.Name).Restart()
	case trace.Application:
		target := p.site.Application(body.Name)
		target.SetFaults(application.Faults{
			Down: body.Down, HangBefore: body.HangBefore, HangAfter: body.HangAfter, Slow: body.Slow, LoseNext: body.LoseNext,
		})
		return func() { target.SetFaults(application.Faults{}) }
	case trace.Leave:
		p.site.Leave(body.Name)
	}
	return nil
}
