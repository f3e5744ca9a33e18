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
	// minPrefillTokens is the minimum number of uncached prompt tokens for the time
	// to the first token to count as a measurement of the prefill rate.
	minPrefillTokens = 128
	// hungAfter is how long a call to an application must have taken for a deadline
	// exceeded to count as a failure of the application.
	hungAfter = 10 * time.Second
)

// average is an exponentially weighted moving average; 0 means no value yet.
type average struct{ value float64 }

func (a *average) add(value float64) {
	if a.value == 0 {
		a.value = value
		return
	}
	a.value += averageWeight * (value - a.value)
}

// Observe records the outcome of a call. It updates rates, health, leaving and the
// cache map.
func (c *Controller) Observe(ctx context.Context, result Result) {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	name, listed := c.byAddress[result.Address]
	if !listed {
		return
	}
	state := c.states[name]
	c.markUsed(now, state)
	before := state.health.at(now)
	switch {
	case result.Err == nil:
		c.recordAnswer(now, state, result)
	case errors.Is(result.Err, backend.ErrDraining):
		state.leaving.signalledAt = now
	case isBackendFailure(ctx, result) || isHung(state.machine.Role, result):
		c.metrics.callFailures.WithLabelValues(name).Inc()
		state.health = state.health.afterCall(now, false)
	default:
		return
	}
	c.publish(now, state)
	c.logHealth(state, before, state.health.at(now), result.Err)
}

// markUsed records that a call went to a back end and brings its next poll
// forward if it was idle. The caller holds mutex.
func (c *Controller) markUsed(now time.Time, state *backendState) {
	state.lastUsed = now
	if soon := now.Add(c.intervals.active); state.nextPoll.After(soon) && state.health.failedPolls == 0 {
		state.nextPoll = soon
	}
}

// isBackendFailure reports whether the error counts against the back end's
// health. Refusals, cancelled streams and calls abandoned by the caller do not.
func isBackendFailure(ctx context.Context, result Result) bool {
	return ctx.Err() == nil && (errors.Is(result.Err, backend.ErrNotDelivered) || errors.Is(result.Err, backend.ErrOutcomeUnknown))
}

// isHung reports whether an application did not answer before the call's
// deadline. It is false for engines, whose calls may have been queued.
func isHung(role siteservices.MachineRole, result Result) bool {
	return role == siteservices.RoleApplication && result.Total >= hungAfter && errors.Is(result.Err, context.DeadlineExceeded)
}

// recordAnswer records a successful call. The caller holds mutex.
func (c *Controller) recordAnswer(now time.Time, state *backendState, result Result) {
	usage := result.Usage
	if usage.CompletionTokens == 0 {
		state.health = state.health.afterFastCall(now) // applications have no rates
		return
	}
	call := result.Stream.Call
	c.cache.Record(now, state.machine.Name, call.Program, call.Branch, usage.PromptTokens+usage.CompletionTokens)
	if uncached := usage.PromptTokens - usage.CachedTokens; uncached >= minPrefillTokens && result.FirstToken > 0 {
		state.prefill.add(float64(uncached) / result.FirstToken.Seconds())
	}
	rate := 0.0
	if decoding := result.Total - result.FirstToken; usage.CompletionTokens > 1 && result.FirstToken > 0 && decoding > 0 {
		rate = float64(usage.CompletionTokens-1) / decoding.Seconds()
		state.decode.add(rate)
	}
	peers := c.pools[state.machine.Service]
	if peers.isSlow(rate, usage.CompletionTokens) {
		state.health = state.health.afterSlowCall(now, peers.mayEjectSlow())
		return
	}
	state.health = state.health.afterFastCall(now)
}

// comparePools computes the pool statistics of each service.
func comparePools(now time.Time, all map[string]*backendState) map[string]pool {
	rates := map[string][]float64{}
	pools := map[string]pool{}
	for _, state := range all {
		service := state.machine.Service
		entry := pools[service]
		entry.members++
		if state.health.at(now) == scheduling.Ejected {
			entry.ejected++
		}
		pools[service] = entry
		if state.decode.value > 0 {
			rates[service] = append(rates[service], state.decode.value)
		}
	}
	for service, observed := range rates {
		if len(observed) < minPoolSize {
			continue
		}
		slices.Sort(observed)
		entry := pools[service]
		entry.decodeRate = observed[len(observed)/2]
		pools[service] = entry
	}
	return pools
}
