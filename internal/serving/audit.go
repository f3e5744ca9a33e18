package serving

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"stepseam.example/stepseam/internal/blackboard"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/siteservices"
)

// suspect is a program that an engine holds and that no owner knew at the last
// audit.
type suspect struct {
	engine  netip.AddrPort
	program identity.ProgramID
}

// auditor remembers suspects from one audit to the next: what is released was
// gone twice, an audit apart, which leaves time for a program that was being
// created.
type auditor struct {
	mutex    sync.Mutex
	suspects map[suspect]struct{}
}

// audit compares the memory of the engines that this node is responsible for
// with the programs that live, and frees what nobody owns. It releases nothing
// where the answer is not certain.
func (o *Owner) audit(ctx context.Context) {
	if o.config.ProgramAlive == nil {
		return
	}
	view := o.config.Board.Members.Load()
	var group sync.WaitGroup
	for _, engine := range o.candidates.of(siteservices.RoleEngine, time.Now()) {
		if !responsible(o.config.Self, engine.Name, view) {
			continue
		}
		group.Go(func() { o.auditEngine(ctx, engine) })
	}
	group.Wait()
}

// responsible tells that self ranks first among the live members for the engine.
// Two nodes with different views may both audit it, which does no harm.
func responsible(self identity.NodeName, engine string, view membership.View) bool {
	own := xxhash.Sum64String(engine + "\x00" + string(self))
	for _, member := range view.Members {
		if member.Status != membership.Alive || member.Node.Name == self {
			continue
		}
		if xxhash.Sum64String(engine+"\x00"+string(member.Node.Name)) > own {
			return false
		}
	}
	return true
}

func (o *Owner) auditEngine(ctx context.Context, engine blackboard.Backend) {
	requestContext, cancel := context.WithTimeout(ctx, o.config.Timing.RequestTimeout)
	defer cancel()
	client := o.config.Directory.Engine(engine.Address)
	held, err := client.CachedPrefixes(requestContext)
	if err != nil {
		o.logger.Debug("audit: engine did not answer", "backend", engine.Name, "error", err)
		return
	}
	programs := map[identity.ProgramID]struct{}{}
	for _, prefix := range held {
		programs[prefix.Program] = struct{}{}
	}
	for id := range programs {
		if !o.orphaned(ctx, suspect{engine.Address, id}) {
			continue
		}
		if err := o.releaseOrphan(ctx, engine, id); err != nil {
			o.logger.Warn("audit: release failed", "program", id, "backend", engine.Name, "error", err)
		}
	}
	o.auditor.keep(engine.Address, programs)
}

// orphaned tells that the program was found gone in this audit and the last.
func (o *Owner) orphaned(ctx context.Context, found suspect) bool {
	ctx, cancel := context.WithTimeout(ctx, o.config.Timing.RequestTimeout)
	defer cancel()
	alive, known, err := o.config.ProgramAlive(ctx, found.program)
	return o.auditor.note(found, err == nil && known && !alive)
}

func (o *Owner) releaseOrphan(ctx context.Context, engine blackboard.Backend, id identity.ProgramID) error {
	ctx, cancel := context.WithTimeout(ctx, o.config.Timing.RequestTimeout)
	defer cancel()
	if err := o.config.Directory.Engine(engine.Address).Release(ctx, id, ""); err != nil {
		return err
	}
	o.metrics.orphans.Inc()
	o.logger.Info("audit: freed memory that no program owns", "program", id, "backend", engine.Name)
	return nil
}

// note returns true if found was gone before too and is gone now.
func (a *auditor) note(found suspect, gone bool) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !gone {
		delete(a.suspects, found)
		return false
	}
	_, before := a.suspects[found]
	a.suspects[found] = struct{}{}
	return before
}

// keep drops the suspects of engine that it does not hold any more.
func (a *auditor) keep(engine netip.AddrPort, held map[identity.ProgramID]struct{}) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for found := range a.suspects {
		if _, still := held[found.program]; found.engine == engine && !still {
			delete(a.suspects, found)
		}
	}
}
