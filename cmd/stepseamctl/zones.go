package main

import (
	"context"
	"fmt"
	"io"
	"strconv"

	"stepseam.example/stepseam/internal/zonestatus"
)

// zonesCommand shows the zones and cold replicas as seen by a platform node.
type zonesCommand struct{}

func (c *zonesCommand) run(ctx context.Context, s *session) error {
	var status zonestatus.Status
	if err := s.client.get(ctx, "/v1/zones", &status); err != nil {
		return err
	}
	return s.print(status, func(w io.Writer) { writeZones(w, status) })
}

func writeZones(w io.Writer, status zonestatus.Status) {
	fmt.Fprintf(w, "zones as seen by %s\n\n", status.Node)
	writeRow(w, "ZONE", "REGION", "REPLICAS", "SLOTS", "EVACUATED MS", "LAST SEND MS AGO")
	for _, zone := range status.Zones {
		writeRow(w, zone.Name, zone.Region, zone.Replicas, zone.Slots, orDash(zone.EvacuatedMs), orDash(zone.LastSendMs))
	}
	fmt.Fprintf(w, "\ncold replicas\n\n")
	writeRow(w, "REPLICA", "SERVICE", "ZONE", "LEFT MS", "SENDER", "EACH", "PERIOD MS", "SENT HERE")
	for _, cold := range status.Cold {
		writeRow(w, cold.Instance, cold.Service, cold.Zone, cold.LeftMs, cold.Sender, cold.Each, cold.PeriodMs, cold.Sent)
	}
}

// orDash formats an optional number, with a dash for nil.
func orDash(number *int64) string {
	if number == nil {
		return "-"
	}
	return strconv.FormatInt(*number, 10)
}
