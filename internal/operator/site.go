package operator

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/samber/lo"
	"golang.org/x/sync/errgroup"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/blackboard"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/scheduling"
	"stepseam.example/stepseam/internal/table"
)

const (
	// queryTimeout is the timeout of one query to another node.
	queryTimeout = 2 * time.Second
	// queryConcurrency is the maximum number of concurrent queries.
	queryConcurrency = 32
)

// register adds this package's messages and handlers to the node's registry.
func (o *Operator) register(registry *peer.Registry) {
	registry.Add(
		func() peer.Message { return &statusRequest{} }, func() peer.Message { return &statusReply{} },
		func() peer.Message { return &listRequest{} }, func() peer.Message { return &listReply{} },
		func() peer.Message { return &explainRequest{} }, func() peer.Message { return &explainReply{} },
		func() peer.Message { return &drainRequest{} }, func() peer.Message { return &drainReply{} },
	)
	for _, kind := range []peer.Kind{kindStatusRequest, kindListRequest, kindExplainRequest, kindDrainRequest} {
		registry.Handle(kind, peer.HandlerFunc(o.handle))
	}
}

// handle handles another node's request about this node.
func (o *Operator) handle(_ context.Context, request peer.Message, _ func(peer.Message) error) (peer.Message, error) {
	switch request := request.(type) {
	case *statusRequest:
		return &statusReply{status: o.ownStatus()}, nil
	case *listRequest:
		return o.ownPrograms(request.selection), nil
	case *explainRequest:
		return &explainReply{explanation: o.ownExplanation(request.call)}, nil
	case *drainRequest:
		return &drainReply{}, o.drainSelf()
	}
	return nil, fmt.Errorf("operator: unexpected message of kind %d", request.Kind())
}

// query sends request to a member. Requests to this node are handled locally.
func (o *Operator) query(ctx context.Context, member membership.Member, request peer.Message) (peer.Message, error) {
	if member.Node.Name == o.config.Self.Name {
		return o.handle(ctx, request, nil)
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	reply, err := o.config.Peers.Call(ctx, member.Node.PeerAddress, request, nil)
	if err != nil {
		return nil, fmt.Errorf("operator: ask %s: %w", member.Node.Name, err)
	}
	return reply, nil
}

// siteMembers returns the members of the site. It includes this node even before membership
// has started.
func (o *Operator) siteMembers() []membership.Member {
	members := slices.Clone(o.config.Board.Members.Load().Members)
	own := func(m membership.Member) bool { return m.Node.Name == o.config.Self.Name }
	if !slices.ContainsFunc(members, own) {
		members = append(members, membership.Member{Node: o.config.Self, Status: membership.Alive})
	}
	return members
}

// nodeReply is the reply of one member. message is nil if it did not respond.
type nodeReply struct {
	member  membership.Member
	message peer.Message
}

// queryAll sends request to all members and returns their replies in the order of
// the members.
func (o *Operator) queryAll(ctx context.Context, request peer.Message) []nodeReply {
	members := o.siteMembers()
	replies := make([]nodeReply, len(members))
	var group errgroup.Group
	group.SetLimit(queryConcurrency)
	for i, member := range members {
		group.Go(func() error {
			message, err := o.query(ctx, member, request)
			if err != nil {
				o.config.Logger.Debug("node did not respond", "node", member.Node.Name, "error", err)
			}
			replies[i] = nodeReply{member: member, message: message}
			return nil
		})
	}
	_ = group.Wait() // the functions return no errors
	return replies
}

func (o *Operator) ownStatus() NodeStatus {
	state, reasons := o.config.Tables.State(), o.notReady()
	return NodeStatus{
		Name: string(o.config.Self.Name), Zone: string(o.config.Self.Zone), Region: string(o.config.Self.Region),
		Incarnation: uint64(o.config.Self.Incarnation), Ready: len(reasons) == 0, NotReady: reasons,
		Draining: o.config.Board.Draining.Load(), TableInForce: state.InForce, TableKnown: state.Known,
		LogFailure: state.Failure, Shards: o.config.OwnShards(),
	}
}

// siteStatus queries every member for its status.
func (o *Operator) siteStatus(ctx context.Context) SiteStatus {
	site := SiteStatus{Node: string(o.config.Self.Name), AsOf: time.Now(), ShardCount: o.config.ShardCount}
	for _, reply := range o.queryAll(ctx, &statusRequest{}) {
		status := NodeStatus{
			Name: string(reply.member.Node.Name), Zone: string(reply.member.Node.Zone),
			Region: string(reply.member.Node.Region), Incarnation: uint64(reply.member.Node.Incarnation),
			TableInForce: table.Version(reply.member.TableVersion), Shards: int(reply.member.Load),
		}
		if received, reached := reply.message.(*statusReply); reached {
			status = received.status
			status.Reached = true
			site.ShardsOwned += status.Shards
		}
		status.Membership = membershipNames[reply.member.Status]
		site.Nodes = append(site.Nodes, status)
	}
	backends := o.config.Board.Backends.Clone()
	site.Backends = make([]BackendStatus, 0, len(backends))
	for _, name := range slices.Sorted(maps.Keys(backends)) {
		site.Backends = append(site.Backends, backendStatus(backends[name], site.AsOf))
	}
	return site
}

func backendStatus(b blackboard.Backend, now time.Time) BackendStatus {
	status := BackendStatus{
		Name: b.Name, Role: string(b.Role), Service: b.Service, Zone: string(b.Zone), Address: b.Address.String(),
		State: stateOf(b), Running: b.Report.Running, Waiting: b.Report.Waiting,
		CacheUsedTokens: b.Report.CacheUsedTokens, CacheCapacityTokens: b.Report.CacheCapacityTokens,
		Models: b.Report.Models, Adapters: b.Report.Adapters, ReportAgeSeconds: -1,
	}
	if !b.ReportedAt.IsZero() {
		status.ReportAgeSeconds = now.Sub(b.ReportedAt).Seconds()
	}
	return status
}

func stateOf(b blackboard.Backend) string {
	switch {
	case b.Leaving:
		return "leaving"
	case b.Health == scheduling.Ejected:
		return "ejected"
	case b.Health == scheduling.Probation:
		return "probation"
	}
	return "healthy"
}

func (o *Operator) drainSelf() error {
	if o.config.Drain == nil {
		return fmt.Errorf("operator: %s cannot be drained from outside", o.config.Self.Name)
	}
	o.config.Logger.Info("planned stop requested by an operator", "node", o.config.Self.Name)
	o.config.Drain()
	return nil
}

// drain starts the planned stop of the named node.
func (o *Operator) drain(ctx context.Context, name string) error {
	members := o.siteMembers()
	member, found := lo.Find(members, func(m membership.Member) bool { return string(m.Node.Name) == name })
	if !found {
		known := lo.Map(members, func(m membership.Member, _ int) string { return string(m.Node.Name) })
		return problemError(http.StatusNotFound, CodeUnknownNode, "there is no node %s; the members are %v", name, known)
	}
	if _, err := o.query(ctx, member, &drainRequest{}); err != nil {
		return problemError(http.StatusBadGateway, api.CodeInternal, "%s did not confirm, look at its status: %s", name, err)
	}
	return nil
}

type drainInput struct{ Body DrainRequest }

type documentOf[T any] struct{ Body T }

func (o *Operator) siteEndpoints(interfaces huma.API) {
	huma.Register(interfaces, huma.Operation{
		OperationID: "status", Method: http.MethodGet, Path: "/v1/status", Summary: "Nodes, back ends, shards and versions in force",
	}, func(ctx context.Context, _ *struct{}) (*documentOf[SiteStatus], error) {
		return &documentOf[SiteStatus]{Body: o.siteStatus(ctx)}, nil
	})
	huma.Register(interfaces, huma.Operation{
		OperationID: "drain", Method: http.MethodPost, Path: "/v1/drain", Summary: "Begin the planned stop of a node",
		DefaultStatus: http.StatusAccepted,
	}, func(ctx context.Context, input *drainInput) (*documentOf[DrainStarted], error) {
		name := input.Body.Node
		if name == "" {
			name = string(o.config.Self.Name)
		}
		if err := o.drain(ctx, name); err != nil {
			return nil, err
		}
		return &documentOf[DrainStarted]{Body: DrainStarted{Node: name}}, nil
	})
}
