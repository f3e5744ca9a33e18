package coordinator

import (
	"context"
	"errors"
	"fmt"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/residency"
	"stepseam.example/stepseam/internal/wire"
)

// persistAnywhereRequest is persistRequest for a turn whose text any node may read, so that the
// receiver may write it to the index. Nodes of older versions do not know the message and are
// sent persistRequest.
type persistAnywhereRequest struct {
	persistRequest
	// later contains fields that newer versions add.
	later []byte
}

// Kind implements peer.Message.
func (*persistAnywhereRequest) Kind() peer.Kind { return kindPersistAnywhereRequest }

// Encode implements peer.Message.
func (m *persistAnywhereRequest) Encode(e *wire.Encoder) {
	m.persistRequest.Encode(e)
	e.Blob(m.later)
}

// Decode implements peer.Message.
func (m *persistAnywhereRequest) Decode(d *wire.Decoder) {
	m.persistRequest.Decode(d)
	m.later = d.Blob()
}

// pendingTurn is a turn to persist.
type pendingTurn struct {
	turn ledger.IndexEntry
	text []byte
	// restricted is set if the text must not go into the index, which nodes in all regions
	// read.
	restricted bool
}

func newPendingTurn(turn ledger.IndexEntry, text []byte, allowed residency.AllowedRegions) pendingTurn {
	return pendingTurn{turn: turn, text: text, restricted: allowed.Restricted()}
}

// requestPersist asks another node to persist a turn.
func (s *Service) requestPersist(ctx context.Context, target identity.Node, turn pendingTurn) (peer.Message, error) {
	plain := persistRequest{Turn: turn.turn, Text: turn.text}
	if turn.restricted {
		return s.callWithProgress(ctx, target, &plain)
	}
	response, err := s.callWithProgress(ctx, target, &persistAnywhereRequest{persistRequest: plain})
	if errors.Is(err, peer.ErrUnknownKind) {
		return s.callWithProgress(ctx, target, &plain)
	}
	return response, err
}

// handlePersist handles persistRequest and persistAnywhereRequest.
func (s *Service) handlePersist(ctx context.Context, request peer.Message, sendPart func(peer.Message) error) (peer.Message, error) {
	var turn pendingTurn
	switch request := request.(type) {
	case *persistRequest:
		turn = pendingTurn{turn: request.Turn, text: request.Text, restricted: true}
	case *persistAnywhereRequest:
		turn = pendingTurn{turn: request.Turn, text: request.Text}
	default:
		return nil, fmt.Errorf("homes: unexpected %T", request)
	}
	defer s.sendProgress(sendPart)()
	location, err := s.persistLocally(ctx, turn)
	if err != nil {
		return &persistResponse{Status: statusOf(err), Reason: err.Error()}, nil
	}
	return &persistResponse{Status: statusDone, Location: location}, nil
}
