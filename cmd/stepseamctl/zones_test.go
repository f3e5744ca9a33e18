package main

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/coldstart"
	"stepseam.example/stepseam/internal/zonestatus"
)

func TestZonesAndColdReplicasArePrinted(t *testing.T) {
	is := is.New(t)
	evacuated, sent := int64(4210), int64(4400)
	status := zonestatus.Status{
		Node:  "n1",
		Zones: []zonestatus.Zone{{Name: "z1", Region: "r1", Replicas: 5, Slots: 40, EvacuatedMs: &evacuated, LastSendMs: &sent}, {Name: "z2", Region: "r1", Replicas: 4, Slots: 32}},
		Cold:  []coldstart.Status{{Instance: "i-7", Service: "engines", Zone: "z2", LeftMs: 1700, Sender: true, Each: 2, PeriodMs: 1000, Sent: 3}},
	}
	ctl := ctlForStatus(t, "/v1/zones", &status)
	shown := ctl("zones")
	for _, part := range []string{"zones as seen by n1", "4210", "4400", "i-7", "1700"} {
		is.True(strings.Contains(shown, part))
	}
	var read zonestatus.Status
	is.NoErr(json.Unmarshal([]byte(ctl("-o", "json", "zones")), &read))
	is.Equal(read, status)
}
