package backends

import (
	"context"
	"errors"
	"slices"
	"time"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/scheduling"
	"stepseam.example/stepseam/internal/siteservices"
)

const (
	// averageWeight is the weight of a new value in a moving average.
	averageWeight = 0.2
	// prefillTokens is how many uncached tokens a prompt must have for the time to
	// its first token to tell of the prefill.
	prefillTokens = 128
	// hungAfter is how long an application must have been silent for the end of
	// its caller's patience to speak against it.
	hungAfter = 10 * time.Second
)

// average is an exponentially weighted moving average; 0 is unknown.
type average struct{ value float64 }

func (a *average) add(value float64) {
	if a.value == 0 {
		a.value = value
		return
	}
	a.value += averageWeight * (value - a.value)
}

// Observe takes in how a call ended. It updates rates, health, leaving and the
// cache map.
func (c *Controller) Observe(ctx context.Context, result Result) {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	name, listed := c.byAddress[result.Address]
	if !listed {
		return
	}
	known := c.watched[name]
	c.use(now, known)
	before := known.health.at(now)
	switch {
	case result.Err == nil:
		c.answered(now, known, result)
	case errors.Is(result.Err, backend.ErrDraining):
		known.leaving.signed = now
	case failed(ctx, result) || hung(known.machine.Role, result):
		c.metrics.callFailures.WithLabelValues(name).Inc()
		known.health = known.health.afterCall(now, false)
	default:
		return
	}
	c.publish(now, known)
	c.logHealth(known, before, known.health.at(now), result.Err)
}

// use notes a call to a back end; one that was idle is polled sooner from now on.
// The mutex is held.
func (c *Controller) use(now time.Time, known *watched) {
	known.lastUsed = now
	if soon := now.Add(c.pace.used); known.nextPoll.After(soon) && known.health.missed == 0 {
		known.nextPoll = soon
	}
}

// failed tells whether an error speaks against the back end. A refusal, a
// cancelled stream and a caller that went away do not.
func failed(ctx context.Context, result Result) bool {
	return ctx.Err() == nil && (errors.Is(result.Err, backend.ErrNotDelivered) || errors.Is(result.Err, backend.ErrBroken))
}

// hung tells whether an application kept a call until its time ran out. An
// engine's calls may have waited for their turn, so they say nothing.
func hung(role siteservices.MachineRole, result Result) bool {
	return role == siteservices.RoleApplication && result.Total >= hungAfter && errors.Is(result.Err, context.DeadlineExceeded)
}

// answered takes in a call that ended well. The mutex is held.
func (c *Controller) answered(now time.Time, known *watched, result Result) {
	usage := result.Usage
	if usage.CompletionTokens == 0 {
		known.health = known.health.afterFastCall(now) // an application: no rates
		return
	}
	call := result.Stream.Call
	c.cache.Record(now, known.machine.Name, call.Program, call.Branch, usage.PromptTokens+usage.CompletionTokens)
	if uncached := usage.PromptTokens - usage.CachedTokens; uncached >= prefillTokens && result.FirstToken > 0 {
		known.prefill.add(float64(uncached) / result.FirstToken.Seconds())
	}
	rate := 0.0
	if decoding := result.Total - result.FirstToken; usage.CompletionTokens > 1 && result.FirstToken > 0 && decoding > 0 {
		rate = float64(usage.CompletionTokens-1) / decoding.Seconds()
		known.decode.add(rate)
	}
	peers := c.pools[known.machine.Service]
	if peers.isSlow(rate, usage.CompletionTokens) {
		known.health = known.health.afterSlowCall(now, peers.mayEjectSlow())
		return
	}
	known.health = known.health.afterFastCall(now)
}

// comparePools returns what each service's back ends are compared with.
func comparePools(now time.Time, all map[string]*watched) map[string]pool {
	rates := map[string][]float64{}
	pools := map[string]pool{}
	for _, known := range all {
		service := known.machine.Service
		entry := pools[service]
		entry.members++
		if known.health.at(now) == scheduling.Ejected {
			entry.ejected++
		}
		pools[service] = entry
		if known.decode.value > 0 {
			rates[service] = append(rates[service], known.decode.value)
		}
	}
	for service, observed := range rates {
		if len(observed) < slowPeers {
			continue
		}
		slices.Sort(observed)
		entry := pools[service]
		entry.decodeRate = observed[len(observed)/2]
		pools[service] = entry
	}
	return pools
}
