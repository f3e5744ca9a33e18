package quarantine

import (
	"cmp"
	"context"
	"encoding/hex"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/emulator/nodes"
	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/logstore"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/wire"
)

// TestRecordedBytesOfMessages guards compatibility with nodes of other versions.
func TestRecordedBytesOfMessages(t *testing.T) {
	records := []record{{
		key: Key{0: 1, 15: 2}, identified: true, announced: true, lifetime: time.Minute, clientLeft: 2 * time.Second, void: true, voidAgo: time.Second,
		attempts: []sharedAttempt{{id: 7, replica: Replica{Instance: "i", StartedAtMs: 5}, state: stateEnded, beganAgo: time.Second, broken: true, brokeAgo: time.Millisecond, left: time.Second}},
	}}
	const written = "0000000100000010010000000000000000000000000000020101" + "0000000df84758000000000077359400" + "01000000003b9aca00" +
		"00000001" + "000000000000000700000001690000000000000005" + "03" + "000000003b9aca0001" + "00000000000f4240" + "000000003b9aca00"
	for name, c := range map[string]struct {
		message, empty peer.Message
		written        string
	}{
		"notice":         {&notice{records: records, pull: true}, &notice{}, written + "0100000000"},
		"probe":          {&probe{address: netip.MustParseAddrPort("10.0.0.1:80")}, &probe{}, "000000060a000001500000000000"},
		"probe response": {&probeResponse{found: findingEnded}, &probeResponse{}, "0100000000"},
		"response":       {&noticeResponse{stored: true, synced: true, records: records}, &noticeResponse{}, "0101" + written + "00000000"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(hex.EncodeToString(nodes.Encode(c.message)), c.written)
			fields, err := hex.DecodeString(c.written)
			is.NoErr(err)
			decoder := wire.NewDecoder(fields)
			c.empty.Decode(decoder)
			is.NoErr(decoder.Finish())
			is.Equal(c.empty, c.message)
		})
	}
}

func FuzzDecodeMessages(f *testing.F) {
	registry := peer.NewRegistry()
	idleService().Register(registry)
	f.Add(uint16(0), nodes.Encode(&notice{records: []record{{attempts: []sharedAttempt{{}}}}}))
	f.Add(uint16(1), nodes.Encode(&noticeResponse{stored: true}))
	f.Fuzz(func(_ *testing.T, kind uint16, fields []byte) {
		_, _ = registry.Decode(kindNotice+peer.Kind(kind%4), fields)
	})
}

// Nodes that learn of the same attempts in different orders must come to the same count.
func TestOrderOfMergesDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		attempts := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) attempt {
			return attempt{
				id: uint64(rapid.IntRange(1, 8).Draw(t, "id")), replica: Replica{Instance: "m"},
				state: state(rapid.IntRange(int(stateOpen), int(stateCleared)).Draw(t, "state")), began: 1, broken: true, brokeAt: 2,
			}
		}), 1, 20).Draw(t, "attempts")
		for i := range attempts { // an ID belongs to one replica
			attempts[i].replica.StartedAtMs = int64(attempts[i].id)
		}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 1))
		first, second := &entry{identified: true}, &entry{identified: true}
		for _, one := range attempts {
			first.merge(one)
		}
		for _, i := range random.Perm(len(attempts)) {
			second.merge(attempts[i])
		}
		second.merge(attempts[random.IntN(len(attempts))])
		if first.ended() != second.ended() || first.count() != second.count() {
			t.Fatalf("%d and %d ended, %d and %d count", first.ended(), second.ended(), first.count(), second.count())
		}
	})
}

func TestContentsDifferByEachField(t *testing.T) {
	is := is.New(t)
	keys := map[Key]bool{}
	contents := []Content{
		{},
		{Tenant: "a"},
		{Host: "a"},
		{Method: "a"},
		{URI: "a"},
		{Program: "a"},
		{Session: "a"},
		{PreviousTurn: "a"},
		{PromptPrefix: "a"},
		{TokenCount: "a"},
		{Body: []byte("a")},
		{Tenant: "ab", Host: "c"},
		{Tenant: "a", Host: "bc"},
	}
	for _, content := range contents {
		keys[content.Key()] = true
	}
	is.Equal(len(keys), len(contents))
	key := (&Content{Tenant: "a"}).Key()
	parsed, err := ParseKey(key.String())
	is.NoErr(err)
	is.Equal(parsed, key)
	_, err = ParseKey("xy")
	is.True(err != nil)
}

func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	table := newTable()
	lethal := requestOf("lethal", true)
	found := table.entry(lethal.Key, true, time.Hour, 0)
	for i := range MaxEnded {
		found.merge(attempt{id: uint64(i + 1), replica: Replica{Instance: "m", StartedAtMs: int64(i)}, state: stateEnded})
	}
	for i := range 2 * maxRecords {
		var key Key
		key[0], key[1] = byte(i), byte(i>>8)
		table.entry(key, true, time.Hour, 0)
	}
	is.Equal(len(table.records), maxRecords)
	is.True(table.records[lethal.Key] != nil) // those without ends give way
	table.purge(2 * time.Hour)
	is.Equal(table.size.Load(), int64(0))
	for i := range 100 {
		found.merge(attempt{id: uint64(i + 100), replica: Replica{Instance: "n"}, state: stateCleared})
	}
	is.True(len(found.attempts) <= maxAttempts)
	is.Equal(found.ended(), MaxEnded)
}

// noReplicas is an empty view.
type noReplicas struct{}

// Presence implements Replicas.
func (noReplicas) Presence(string) (fleet.Presence, bool) { return fleet.Presence{}, false }

// Recovering implements Replicas.
func (noReplicas) Recovering(time.Duration) bool { return false }

func idleService() *Service {
	return New(Config{Self: "n", Replicas: noReplicas{}, Now: func() time.Duration { return time.Minute }, Logger: slog.New(slog.DiscardHandler)})
}

// The path of a request must cost nothing while no replica has ended.
func TestIdleServiceAllocatesNothing(t *testing.T) {
	is := is.New(t)
	service, request := idleService(), requestOf("p", true)
	is.Equal(testing.AllocsPerRun(1000, func() { useIdle(service, request) }), 0.)
}

func useIdle(service *Service, request *Request) {
	_ = service.Check(request)
	attempt, _ := service.Begin(context.Background(), request, Send{}, Attempt{})
	service.Heard(Replica{Instance: "m"})
	service.Answered(request)
	service.End(attempt)
}

func BenchmarkIdle(b *testing.B) {
	service, request := idleService(), requestOf("p", true)
	for b.Loop() {
		useIdle(service, request)
	}
}

// BenchmarkKey measures the key of a request with a body of 17 kB, which is computed for failed
// attempts, and for each request while there are records.
func BenchmarkKey(b *testing.B) {
	content := Content{Tenant: "t", Host: "h.example", Method: "POST", URI: "/a/b", Program: "p", Body: make([]byte, 17<<10)}
	for b.Loop() {
		_ = content.Key()
	}
}

// BenchmarkCheck measures the check of a request of which nothing is known, beside a full table.
func BenchmarkCheck(b *testing.B) {
	service, request := idleService(), requestOf("p", true)
	for i := range maxRecords {
		var key Key
		key[0], key[1] = byte(i), byte(i>>8)
		service.table.entry(key, true, time.Hour, 0)
	}
	for b.Loop() {
		_ = service.Check(request)
	}
}

// Notices that took different times to arrive made attempts overlap that followed each other, so that a
// node that was told of three ends under a content without a program counted two.
func TestNoticesWithDelayKeepTheOrderOfAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Three attempts follow each other at one node; a notice with all so far goes out after each.
		const length, pause = 20 * time.Millisecond, time.Millisecond
		sender, receiver := newTable(), newTable()
		key := requestOf("", false).Key
		sent := sender.entry(key, false, time.Minute, 0)
		var arrivals []time.Duration
		var notices []record
		for i := range MaxEnded {
			began := time.Duration(i) * (length + pause)
			sent.add(&attempt{id: uint64(i + 1), replica: Replica{Instance: fmt.Sprint(i)}, state: stateEnded, began: began, broken: true, brokeAt: began + length})
			shared, _ := sent.share(began + length)
			notices = append(notices, shared)
			arrivals = append(arrivals, began+length+time.Duration(rapid.IntRange(0, 100).Draw(t, "delay"))*time.Millisecond)
		}
		order := []int{0, 1, 2}
		slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(arrivals[a], arrivals[b]) })
		found := receiver.entry(key, false, time.Minute, 0)
		for _, number := range order {
			for _, one := range notices[number].attempts {
				found.merge(one.received(arrivals[number]))
			}
		}
		if found.ended() != MaxEnded {
			t.Fatalf("%d ends are counted, notices arrived after %v", found.ended(), arrivals)
		}
	})
}

// FuzzDecodeArchived checks that a stored attempt of another writer is used under its own key only.
func FuzzDecodeArchived(f *testing.F) {
	one := record{key: Key{1}, lifetime: 1, attempts: []sharedAttempt{{id: 2, replica: Replica{Instance: "i"}, state: stateOpen}}}
	key := archiveKey{content: one.key, attempt: 2}
	f.Add(key.String(), encodeArchived(&one))
	f.Add("", encodeArchived(&one))
	f.Add("\xff", []byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		read, named, err := decodeArchived(logstore.Item{Key: key, Value: value})
		if err == nil && len(value) > 0 && (len(read.attempts) != 1 || !strings.EqualFold(named.String(), key)) {
			t.Fatalf("%q was read as %+v of %s", value, read, named)
		}
	})
}
