// Package apiwire encodes types of the public API for messages between nodes.
package apiwire

import (
	"maps"
	"slices"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/wire"
)

// minBranchBytes is the minimum encoded size of one branch of a program.
const minBranchBytes = 12

// EncodeProgram appends program, with its branches sorted by name.
func EncodeProgram(e *wire.Encoder, program *api.Program) {
	e.String(program.ID)
	e.String(program.Tenant)
	e.String(program.Class)
	e.String(string(program.State))
	e.Time(program.Created)
	e.Int64(program.Budget)
	e.Int64(program.Spent)
	e.Int64(program.Reserved)
	e.Uint32(uint32(len(program.Branches)))
	for _, branch := range slices.Sorted(maps.Keys(program.Branches)) {
		e.String(branch)
		e.Uint64(program.Branches[branch])
	}
	e.Int64(int64(program.Calls))
	e.String(program.Owner)
	e.Uint32(program.Shard)
	e.Uint64(program.Epoch)
}

// DecodeProgram decodes a program appended by EncodeProgram.
func DecodeProgram(d *wire.Decoder) api.Program {
	program := api.Program{
		ID:       d.String(),
		Tenant:   d.String(),
		Class:    d.String(),
		State:    api.ProgramState(d.String()),
		Created:  d.Time(),
		Budget:   d.Int64(),
		Spent:    d.Int64(),
		Reserved: d.Int64(),
		Branches: map[string]uint64{},
	}
	for range d.Count(minBranchBytes) {
		branch := d.String()
		program.Branches[branch] = d.Uint64()
	}
	program.Calls = int(d.Int64())
	program.Owner = d.String()
	program.Shard = d.Uint32()
	program.Epoch = d.Uint64()
	return program
}
