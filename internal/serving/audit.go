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

// suspect is a program with memory at an engine that was not alive at the last audit.
type suspect struct {
	engine  netip.AddrPort
	program identity.ProgramID
}

// auditor keeps the suspects from one audit to the next. Memory is released only if the
// program was not alive in two consecutive audits, since a program may be in creation
// during the first.
type auditor struct {
	mutex    sync.Mutex
	suspects map[suspect]struct{}
}

// audit compares the memory of the engines that this node is responsible for with the
// live programs and releases orphaned memory. It releases nothing without an
// authoritative answer about the program.
func (o *Owner) audit(ctx context.Context) {
	if o.config.ProgramAlive == nil {
		return
	}
	view := o.config.Board.Members.Load()
	var group sync.WaitGroup
	for _, engine := range o.candidates.withRole(siteservices.RoleEngine, time.Now()) {
		if !responsible(o.config.Self, engine.Name, view) {
			continue
		}
		group.Go(func() { o.auditEngine(ctx, engine) })
	}
	group.Wait()
}

// responsible reports whether self ranks first among the live members for the engine.
// Nodes with different views may audit the same engine, which is harmless.
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
		o.logger.Debug("audit: listing the cache of an engine failed", "backend", engine.Name, "error", err)
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
	o.auditor.retain(engine.Address, programs)
}

// orphaned reports whether the program was not alive in this audit and the previous one.
func (o *Owner) orphaned(ctx context.Context, found suspect) bool {
	ctx, cancel := context.WithTimeout(ctx, o.config.Timing.RequestTimeout)
	defer cancel()
	alive, known, err := o.config.ProgramAlive(ctx, found.program)
	return o.auditor.update(found, err == nil && known && !alive)
}

func (o *Owner) releaseOrphan(ctx context.Context, engine blackboard.Backend, id identity.ProgramID) error {
	ctx, cancel := context.WithTimeout(ctx, o.config.Timing.RequestTimeout)
	defer cancel()
	if err := o.config.Directory.Engine(engine.Address).Release(ctx, id, ""); err != nil {
		return err
	}
	o.metrics.orphans.Inc()
	o.logger.Info("audit: released the cache of a program that is not alive", "program", id, "backend", engine.Name)
	return nil
}

// update records whether found is a suspect and returns true if it was one before, too.
func (a *auditor) update(found suspect, notAlive bool) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !notAlive {
		delete(a.suspects, found)
		return false
	}
	_, before := a.suspects[found]
	a.suspects[found] = struct{}{}
	return before
}

// retain drops the suspects of an engine that no longer holds memory for them.
func (a *auditor) retain(engine netip.AddrPort, held map[identity.ProgramID]struct{}) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for found := range a.suspects {
		if _, still := held[found.program]; found.engine == engine && !still {
			delete(a.suspects, found)
		}
	}
}
