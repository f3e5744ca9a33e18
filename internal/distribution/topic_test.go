package distribution

import (
	"fmt"
	"maps"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/logstore"
)

// contents returns the items of a topic.
func contents(t *Topic) map[string]string {
	held := map[string]string{}
	page, _ := t.Page("", 1<<30)
	for _, item := range page.Items {
		held[item.Key] = string(item.Value)
	}
	return held
}

// TestPulledTopicEqualsItsSource checks that a topic that is pulled through changes and
// pages, with gaps and from any position, equals its source at the same position.
func TestPulledTopicEqualsItsSource(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, puller := NewTopic("source"), NewTopic("puller")
		model := map[string]string{}
		position := logstore.Offset(rapid.IntRange(0, 5).Draw(t, "first"))
		source.Replace(nil, position)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				position += logstore.Offset(rapid.IntRange(1, 3).Draw(t, "records"))
				item := logstore.Item{Key: fmt.Sprint(rapid.IntRange(0, 6).Draw(t, "key"))}
				if rapid.Bool().Draw(t, "present") {
					item.Value = []byte(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "value")))
					model[item.Key] = string(item.Value)
				} else {
					delete(model, item.Key)
				}
				source.Apply([]logstore.Item{item}, position)
			case 2:
				pull(puller, source, rapid.IntRange(1, 4).Draw(t, "page"))
			case 3:
				if rapid.IntRange(0, 5).Draw(t, "forgets") == 0 {
					source.history, source.complete = nil, source.position
				}
			}
		}
		pull(puller, source, 1)
		if !maps.Equal(contents(puller), model) || !maps.Equal(contents(source), model) {
			t.Fatalf("want %v, source has %v, puller %v", model, contents(source), contents(puller))
		}
	})
}

// pull updates puller to the state of source.
func pull(puller, source *Topic, pageBytes int) {
	if position, known := puller.Position(); known {
		if items, next, complete := source.Since(position); complete {
			puller.Apply(items, next)
			return
		}
	}
	var items []logstore.Item
	after := ""
	for {
		page, _ := source.Page(after, pageBytes)
		items = append(items, page.Items...)
		if !page.More {
			puller.Replace(items, page.Position)
			return
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	topic := NewTopic("t")
	topic.Replace(nil, 0)
	for i := range 3 * historyLength {
		topic.Apply([]logstore.Item{{Key: "k", Value: fmt.Append(nil, i)}}, logstore.Offset(i+1))
	}
	is.True(len(topic.history) <= historyLength)
	_, _, complete := topic.Since(0)
	is.True(!complete)
	items, position, complete := topic.Since(3*historyLength - 10)
	is.True(complete)
	is.Equal(position, logstore.Offset(3*historyLength))
	is.Equal(len(items), 1) // a key that changed several times is included once
}

func TestUnchangedValuesAreNotPropagated(t *testing.T) {
	is := is.New(t)
	topic := NewTopic("t")
	topic.Replace([]logstore.Item{{Key: "a", Value: []byte("1")}}, 5)
	changed := topic.Changed()
	topic.Apply(nil, 9)
	select {
	case <-changed:
		t.Fatal("woken by an unchanged value")
	default:
	}
	items, position, complete := topic.Since(5)
	is.True(complete)
	is.Equal(len(items), 0)
	is.Equal(position, logstore.Offset(9))
	is.Equal(topic.Bytes(), 2)
	topic.Apply([]logstore.Item{{Key: "a"}}, 10)
	is.Equal(topic.Bytes(), 0)
}
