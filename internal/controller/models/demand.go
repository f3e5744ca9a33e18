package models

import (
	"context"
	"math"
	"net/netip"
	"sync"
	"time"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/identity"
)

// demandTimeConstant is the time constant of the smoothing of demand.
const demandTimeConstant = time.Minute

// Demand counts this node's model calls in flight. It is safe for concurrent use.
type Demand struct {
	mutex sync.Mutex
	calls map[demandKey]int
}

type demandKey struct {
	address        netip.AddrPort
	model, adapter string
}

// NewDemand returns a Demand without calls.
func NewDemand() *Demand { return &Demand{calls: map[demandKey]int{}} }

// Count returns a directory that wraps inner and counts the calls to its engines.
func (d *Demand) Count(inner backend.Directory) backend.Directory {
	return countedDirectory{Directory: inner, demand: d}
}

func (d *Demand) add(key demandKey, calls int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.calls[key] += calls
	if d.calls[key] <= 0 {
		delete(d.calls, key)
	}
}

// callsAt returns the calls in flight at an engine by model and by adapter.
func (d *Demand) callsAt(address netip.AddrPort) (models, adapters map[string]int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	models, adapters = map[string]int{}, map[string]int{}
	for key, calls := range d.calls {
		if key.address != address {
			continue
		}
		models[key.model] += calls
		if key.adapter != "" {
			adapters[key.adapter] += calls
		}
	}
	return models, adapters
}

type countedDirectory struct {
	backend.Directory
	demand *Demand
}

// Engine implements backend.Directory.
func (d countedDirectory) Engine(address netip.AddrPort) backend.Engine {
	return countedEngine{Engine: d.Directory.Engine(address), address: address, demand: d.demand}
}

type countedEngine struct {
	backend.Engine
	address netip.AddrPort
	demand  *Demand
}

// Generate implements backend.Engine.
func (e countedEngine) Generate(ctx context.Context, request backend.GenerateRequest, onToken func(backend.Token) error) (backend.GenerateResult, error) {
	key := demandKey{address: e.address, model: request.Model, adapter: request.Adapter}
	e.demand.add(key, 1)
	defer e.demand.add(key, -1)
	return e.Engine.Generate(ctx, request, onToken)
}

// smoothedDemand is the exponentially smoothed demand on a service's models and
// adapters, as of at.
type smoothedDemand struct {
	at               time.Time
	models, adapters map[string]float64
}

// sampleDemand adds a sample of the engines' load to the service's demand. An
// engine's load is attributed to its models in proportion to this node's own calls
// there, and evenly if there are none.
func (c *Controller) sampleDemand(now time.Time, service string, rows rows, names []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	models, adapters := map[string]float64{}, map[string]float64{}
	for _, name := range names {
		state := c.engines[name]
		if !state.available(now) || len(state.report.Models) == 0 {
			continue
		}
		ownModels, ownAdapters := c.config.Demand.callsAt(state.address)
		own := 0
		for _, calls := range ownModels {
			own += calls
		}
		load := float64(max(own, state.report.Running+state.report.Waiting))
		for _, model := range state.report.Models {
			share := 1 / float64(len(state.report.Models))
			if own > 0 {
				share = float64(ownModels[model]) / float64(own)
			}
			models[model] += load * share
		}
		for adapter, calls := range ownAdapters {
			adapters[adapter] += load * float64(calls) / float64(own)
		}
	}
	demand := &c.service(service).demand
	part := 1 - math.Exp(-now.Sub(demand.at).Seconds()/demandTimeConstant.Seconds())
	if demand.at.IsZero() {
		demand.models, demand.adapters, part = map[string]float64{}, map[string]float64{}, 0
	}
	demand.at = now
	for _, row := range rows.models {
		demand.models[row.Name] += (models[row.Name] - demand.models[row.Name]) * part
	}
	for _, row := range rows.adapters {
		demand.adapters[row.Name] += (adapters[row.Name] - demand.adapters[row.Name]) * part
	}
}

// Status is the state of one service as seen by this node.
type Status struct {
	Service string `json:"service"`
	// Acting is true on the node that gives the orders, as owner in Epoch.
	Acting bool           `json:"acting"`
	Epoch  identity.Epoch `json:"epoch,omitempty"`
	// Waiting is what the next order waits for, Shortfalls lists the rows that are
	// not met.
	Waiting    string   `json:"waiting,omitempty"`
	Shortfalls []string `json:"shortfalls,omitempty"`
}
