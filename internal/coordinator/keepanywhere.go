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

// keepAnywhere is keep for a turn whose text any node may read, so that the home may
// write it into the index. Builds that don't know it are asked by keep.
type keepAnywhere struct {
	keep
	// later is what builds to come add.
	later []byte
}

// Kind implements peer.Message.
func (*keepAnywhere) Kind() peer.Kind { return kindKeepAnywhere }

// Encode implements peer.Message.
func (m *keepAnywhere) Encode(e *wire.Encoder) {
	m.keep.Encode(e)
	e.Blob(m.later)
}

// Decode implements peer.Message.
func (m *keepAnywhere) Decode(d *wire.Decoder) {
	m.keep.Decode(d)
	m.later = d.Blob()
}

// writing is a turn that is to be made durable.
type writing struct {
	turn ledger.IndexEntry
	text []byte
	// apart tells that the text must not go into the index, which all nodes read.
	apart bool
}

func writingOf(turn ledger.IndexEntry, text []byte, within residency.AllowedRegions) writing {
	return writing{turn: turn, text: text, apart: within.Restricted()}
}

// askToKeep asks another node to write a turn.
func (s *Service) askToKeep(ctx context.Context, there identity.Node, asked writing) (peer.Message, error) {
	plain := keep{Turn: asked.turn, Text: asked.text}
	if asked.apart {
		return s.callWhileItWorks(ctx, there, &plain)
	}
	answer, err := s.callWhileItWorks(ctx, there, &keepAnywhere{keep: plain})
	if errors.Is(err, peer.ErrUnknownKind) {
		return s.callWhileItWorks(ctx, there, &plain)
	}
	return answer, err
}

// handleKeep answers both messages that ask to keep a turn.
func (s *Service) handleKeep(ctx context.Context, request peer.Message, sendPart func(peer.Message) error) (peer.Message, error) {
	var asked writing
	switch request := request.(type) {
	case *keep:
		asked = writing{turn: request.Turn, text: request.Text, apart: true}
	case *keepAnywhere:
		asked = writing{turn: request.Turn, text: request.Text}
	default:
		return nil, fmt.Errorf("homes: unexpected %T", request)
	}
	defer s.tellWorking(sendPart)()
	location, err := s.keepHere(ctx, asked)
	if err != nil {
		return &kept{Status: statusOf(err), Reason: err.Error()}, nil
	}
	return &kept{Status: statusDone, Location: location}, nil
}
