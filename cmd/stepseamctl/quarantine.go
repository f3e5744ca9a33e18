package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"stepseam.example/stepseam/internal/quarantinestatus"
)

// quarantineCommand shows the requests under which replicas have ended, as known to a platform node,
// or lets one be sent again.
type quarantineCommand struct {
	Lift string `arg:"--lift" placeholder:"KEY" help:"let the request with this content key be sent again, at all nodes"`
}

func (c *quarantineCommand) run(ctx context.Context, s *session) error {
	if c.Lift != "" {
		var lifted quarantinestatus.Lifted
		if err := s.client.send(ctx, http.MethodDelete, "/v1/quarantine/"+url.PathEscape(c.Lift), func(bool) any { return nil }, &lifted); err != nil {
			return err
		}
		return s.print(lifted, func(w io.Writer) { fmt.Fprintf(w, "%s may be sent again, lifted at %s\n", lifted.Key, lifted.Node) })
	}
	var status quarantinestatus.Status
	if err := s.client.get(ctx, "/v1/quarantine", &status); err != nil {
		return err
	}
	return s.print(status, func(w io.Writer) { writeQuarantine(w, status) })
}

func writeQuarantine(w io.Writer, status quarantinestatus.Status) {
	fmt.Fprintf(w, "requests under which replicas have ended, as known to %s\n\n", status.Node)
	writeRow(w, "CONTENT", "QUARANTINED", "OF A PROGRAM", "KEPT MS", "REPLICA", "ENDED MS AGO", "CERTAIN")
	for _, content := range status.Contents {
		for i, end := range content.Ends {
			if i == 0 {
				writeRow(w, content.Key, content.Quarantined, content.Identified, content.LeftMs, end.Replica, end.AgoMs, end.Certain)
				continue
			}
			writeRow(w, "", "", "", "", end.Replica, end.AgoMs, end.Certain)
		}
	}
}
