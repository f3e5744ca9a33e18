package ledgerlog

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/logstore"
)

// errTextGone reports that neither the log nor an archive has a text.
var errTextGone = errors.New("ledgerlog: the log has dropped the text and no archive has it")

// textPartBytes is the length of a part's number in the key of a part.
const textPartBytes = 4

// wantedText is a text that is read from an archive.
type wantedText struct {
	location ledger.Location
	// key is the prefix of the keys of its parts.
	key  string
	text []byte
	// parts is the number of parts that were found.
	parts int
}

func (w *wantedText) whole() bool { return w.parts > 0 && len(w.text) == int(w.location.Size) }

// addArchived adds the texts of a chain that are nil, from the archives. first is the chain's first
// location. Its error wraps a *TextError, and errTextGone if no archive has a text.
func (t *textStore) addArchived(ctx context.Context, first ledger.Location, chain []ledger.Location, texts [][]byte) error {
	var wanted []*wantedText
	size := int64(0)
	for i, location := range chain {
		if texts[i] == nil {
			wanted = append(wanted, &wantedText{location: location, key: ledger.TextKey(first, location)})
			size += int64(location.Size)
		}
	}
	if len(wanted) == 0 {
		return nil
	}
	size = min(size, t.readLimit)
	if err := t.readBytes.Acquire(ctx, size); err != nil {
		return &TextError{Location: first, Err: fmt.Errorf("ledgerlog: wait for other reads of texts: %w", err)}
	}
	defer t.readBytes.Release(size)
	var failed error
	for _, one := range t.archives(chain) {
		failed = errors.Join(failed, one.readTexts(ctx, wanted))
		if !slices.ContainsFunc(wanted, func(w *wantedText) bool { return !w.whole() }) {
			t.use(wanted, chain, texts)
			return nil
		}
	}
	missing := wanted[slices.IndexFunc(wanted, func(w *wantedText) bool { return !w.whole() })]
	if failed == nil {
		failed = errTextGone
	}
	return &TextError{Partition: t.placeOf(missing.location), Location: missing.location, Err: failed}
}

// use puts texts from an archive in their places and into the cache.
func (t *textStore) use(found []*wantedText, chain []ledger.Location, texts [][]byte) {
	for _, one := range found {
		t.cacheText(one.location, one.text)
		for i, location := range chain {
			if location == one.location {
				texts[i] = one.text
			}
		}
	}
}

// readTexts reads the wanted texts that are not whole, as far as the archive has them.
func (a *archive) readTexts(ctx context.Context, wanted []*wantedText) error {
	left := map[string]*wantedText{}
	var keys []string
	for _, one := range wanted {
		if !one.whole() {
			one.text, one.parts = nil, 0
			left[one.key] = one
			keys = append(keys, one.key)
		}
	}
	slices.Sort(keys)
	for len(keys) > 0 {
		request := logstore.NewestRequest{Partition: a.partition, After: strings.TrimSuffix(keys[0], "/")}
		for last := ""; ; {
			page, err := a.page(ctx, request)
			if err != nil {
				return err
			}
			for _, item := range page.Items {
				last = item.Key
				addPart(left, item)
			}
			if !page.More {
				return nil
			}
			// A text goes on in the next page; one that begins later may be many pages on.
			keys = slices.DeleteFunc(keys, func(key string) bool { return left[key].whole() || ledger.TextPartKey(key, 1<<16-1) <= last })
			if len(keys) == 0 || left[keys[0]].parts == 0 {
				break
			}
			request.After = page.Next
		}
	}
	return nil
}

// addPart adds an item to the wanted text that it is part of, if any.
func addPart(wanted map[string]*wantedText, item logstore.Item) {
	if !ledger.IsTextKey(item.Key) || len(item.Value) == 0 || item.Value[0] != textPartFormat || len(item.Key) < textPartBytes {
		return
	}
	one := wanted[item.Key[:len(item.Key)-textPartBytes]]
	if one == nil || item.Key != ledger.TextPartKey(one.key, one.parts) {
		return
	}
	one.parts++
	one.text = append(one.text, item.Value[1:]...)
}

// archiveOrder returns the archives that may have the texts of a chain: those of partitions that are
// known to have a turn with the newest text, those whose log had one of them, and all others.
func (l *Ledger) archiveOrder(chain []ledger.Location) []*archive {
	likely := make([]bool, len(l.archivers))
	for number, one := range l.archivers {
		likely[number] = one.partition.reader.hasText(chain[len(chain)-1])
	}
	for _, location := range chain {
		if number, inIndex := location.InIndex(l.config.Partitions); inIndex && number < len(likely) {
			likely[number] = true
		}
	}
	var first, others []*archive
	for number, one := range l.archivers {
		if likely[number] {
			first = append(first, one.archive)
		} else {
			others = append(others, one.archive)
		}
	}
	return append(first, others...)
}

// hasText reports whether a turn is known whose chain has a text.
func (r *reader) hasText(text ledger.Location) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.state.HasText(text)
}

// writtenWithArchive reports whether the node that wrote a text has written its copy, too.
func (l *Ledger) writtenWithArchive(location ledger.Location) bool {
	if _, inIndex := location.InIndex(l.config.Partitions); inIndex {
		return false
	}
	_, archived := location.InTopic(l.config.Partitions)
	return archived
}
