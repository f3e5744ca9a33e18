package main

import (
	"context"
	"fmt"
	"io"
	"strings"

	"stepseam.example/stepseam/internal/operator"
)

// statusCommand shows the state of the site.
type statusCommand struct{}

func (c *statusCommand) run(ctx context.Context, s *session) error {
	var site operator.SiteStatus
	if err := s.client.get(ctx, "/v1/status", &site); err != nil {
		return err
	}
	return s.print(site, func(w io.Writer) { writeStatus(w, site) })
}

func writeStatus(w io.Writer, site operator.SiteStatus) {
	fmt.Fprintf(w, "site as seen by %s: %d node(s), %d of %d shards owned, %d back end(s)\n\n",
		site.Node, len(site.Nodes), site.ShardsOwned, site.ShardCount, len(site.Backends))
	writeRow(w, "NODE", "ZONE", "MEMBERSHIP", "READY", "TABLE", "SHARDS", "REMARKS")
	for _, node := range site.Nodes {
		writeRow(w, node.Name, node.Zone, node.Membership, readyOf(node), node.TableInForce, node.Shards, remarksOf(node))
	}
	fmt.Fprintln(w)
	writeRow(w, "BACK END", "ROLE", "SERVICE", "ZONE", "STATE", "RUNNING", "WAITING", "CACHE", "MODELS")
	for _, backend := range site.Backends {
		writeRow(w, backend.Name, backend.Role, backend.Service, backend.Zone, backend.State,
			backend.Running, backend.Waiting, cacheOf(backend), strings.Join(backend.Models, " "))
	}
}

func readyOf(node operator.NodeStatus) string {
	switch {
	case !node.Reached:
		return "unknown"
	case node.Ready:
		return "yes"
	}
	return "no"
}

func remarksOf(node operator.NodeStatus) string {
	remarks := node.NotReady
	if !node.Reached {
		remarks = append(remarks, "did not answer; figures are what membership last heard")
	}
	if node.LogFailure != "" {
		remarks = append(remarks, "log cannot be followed: "+truncate(node.LogFailure))
	}
	if node.TableKnown > node.TableInForce {
		remarks = append(remarks, fmt.Sprintf("knows version %d", node.TableKnown))
	}
	return strings.Join(remarks, "; ")
}

// truncate shortens an error for a table cell. The JSON output has the full text.
func truncate(text string) string {
	const maxRunes = 60
	runes := []rune(text)
	if len(runes) <= maxRunes {
		return text
	}
	return string(runes[:maxRunes]) + "…"
}

func cacheOf(backend operator.BackendStatus) string {
	if backend.CacheCapacityTokens == 0 {
		return "-"
	}
	const hundred = 100
	return fmt.Sprintf("%d%%", hundred*backend.CacheUsedTokens/backend.CacheCapacityTokens)
}
