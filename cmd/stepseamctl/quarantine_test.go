package main

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/quarantinestatus"
)

func TestQuarantinedRequestsArePrintedAndLifted(t *testing.T) {
	is := is.New(t)
	status := quarantinestatus.Status{Node: "n1", Contents: []quarantinestatus.Content{{
		Key: "ab12", Quarantined: true, Identified: true, LeftMs: 59000,
		Ends: []quarantinestatus.End{{Replica: "i-7", AgoMs: 1200, Certain: true}, {Replica: "i-8", AgoMs: 300}},
	}}}
	ctl := ctlForStatus(t, "/v1/quarantine", &status)
	shown := ctl("quarantine")
	for _, part := range []string{"known to n1", "ab12", "59000", "i-7", "1200", "i-8", "300"} {
		is.True(strings.Contains(shown, part))
	}
	var read quarantinestatus.Status
	is.NoErr(json.Unmarshal([]byte(ctl("-o", "json", "quarantine")), &read))
	is.Equal(read, status)

	lifted := quarantinestatus.Lifted{Node: "n1", Key: "ab12"}
	is.True(strings.Contains(ctlForStatus(t, "/v1/quarantine/ab12", &lifted)("quarantine", "--lift", "ab12"), "may be sent again"))
}
