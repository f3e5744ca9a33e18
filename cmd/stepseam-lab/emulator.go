package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"

	"stepseam.example/stepseam/internal/emulator/standin"
	"stepseam.example/stepseam/internal/lab/process"
)

// emulatorFlags are the flags of all emulators.
type emulatorFlags struct {
	Address    netip.AddrPort `arg:"--address" default:"127.0.0.1:0" help:"where to listen; port 0 takes a free one, which the first line of output tells"`
	Parameters string         `arg:"--parameters" placeholder:"FILE" help:"YAML file with the stand-in's parameters"`
}

// serve serves handler until ctx ends and prints the listening address to standard output.
func (f emulatorFlags) serve(ctx context.Context, handler http.Handler) error {
	return standin.Serve(ctx, f.Address, handler, func(address netip.AddrPort) {
		fmt.Println(process.ReadyPrefix + address.String())
	})
}
