package origin

import (
	"context"
	"errors"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/nodes"
	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/identity"
)

const (
	seconds = 5 * time.Second
	hours   = 3 * time.Hour
)

// outOfStep is a node that a stream without a record is taken up at, and the only other one.
type outOfStep struct {
	// here and there are for how long the nodes have known of v1 only; 0 is a node without a view.
	here, there time.Duration
	// viewHere and viewThere are how old their views are; negative if nothing tells.
	viewHere, viewThere time.Duration
	// storeHere and storeThere tell how the store confirms their views; nil if it is away.
	storeHere, storeThere func(context.Context) error
	cut                   bool
	standsStill           time.Duration

	goesOn bool
	by     identity.NodeName
	// within bounds the duration; 0 means the time of all queries.
	within time.Duration
}

func only(age time.Duration) fleet.VersionSpan {
	if age == 0 {
		return fleet.VersionSpan{}
	}
	return fleet.VersionSpan{Only: true, Version: "v1", Age: age}
}

// answersAfter is a store that answers after a time.
func answersAfter(delay time.Duration) func(context.Context) error {
	return func(ctx context.Context) error {
		select {
		case <-time.After(delay):
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func refuses(context.Context) error { return errors.New("refused") }

// A stream went on at another version at a node that was cut off while replicas of that version joined:
// the node had known of one version for long, and nobody contradicted it.
func TestStreamWithoutRecordNeedsAViewConfirmedAfterItArrived(t *testing.T) {
	const ms = time.Millisecond
	unknown := time.Duration(-1)
	for name, c := range map[string]outOfStep{
		"in touch":                                {here: hours, there: hours, storeHere: confirmAtOnce, storeThere: confirmAtOnce, goesOn: true, within: silentTimeout},
		"cut off from the store":                  {here: hours, there: hours, viewHere: ms, viewThere: ms},
		"confirmed right before":                  {here: hours, there: hours, viewHere: 1, viewThere: 1},
		"confirmed as it arrived":                 {here: hours, there: hours, viewThere: time.Second, goesOn: true, within: silentTimeout},
		"the store refuses":                       {here: hours, there: hours, viewHere: ms, viewThere: ms, storeHere: refuses, storeThere: refuses},
		"cut off from others":                     {here: hours, there: hours, viewHere: ms, storeHere: confirmAtOnce, cut: true, goesOn: true, within: silentTimeout},
		"cut off from both":                       {here: hours, there: hours, viewHere: ms, storeThere: confirmAtOnce, cut: true},
		"cut off from the store, another is not":  {here: hours, there: hours, viewHere: ms, viewThere: time.Second, storeThere: confirmAtOnce, goesOn: true, by: "n1"},
		"without a view, another has one":         {there: hours, viewHere: hours, viewThere: time.Second, storeThere: confirmAtOnce, goesOn: true, by: "n1"},
		"another has confirmed it meanwhile":      {here: seconds, there: hours, viewHere: ms, goesOn: true, by: "n1"},
		"the store answers late":                  {here: hours, there: hours, viewHere: ms, viewThere: ms, storeHere: answersAfter(150 * ms), goesOn: true, within: 150 * ms},
		"the store answers later than another":    {here: hours, there: hours, viewHere: ms, viewThere: ms, storeHere: answersAfter(400 * ms), storeThere: confirmAtOnce, goesOn: true, by: "n1", within: hedgeDelay},
		"the store answers later than none else":  {here: hours, there: hours, viewHere: ms, viewThere: ms, storeHere: answersAfter(400 * ms), goesOn: true, within: 400 * ms},
		"the store answers too late":              {here: hours, there: hours, viewHere: ms, viewThere: ms, storeHere: answersAfter(time.Minute)},
		"just started, confirmed by nobody":       {here: time.Second, there: hours, viewHere: ms, viewThere: 500 * ms},
		"just started, the other reaches it":      {here: time.Second, there: hours, storeHere: confirmAtOnce, viewThere: 500 * ms, goesOn: true},
		"just started, with a gap to the other":   {here: time.Second, there: hours, storeHere: confirmAtOnce, viewThere: 3 * time.Second},
		"just started, the gap can be closed":     {here: time.Second, there: hours, storeHere: confirmAtOnce, viewThere: 3 * time.Second, storeThere: confirmAtOnce, goesOn: true},
		"just started beside an old build":        {here: 3 * time.Second, there: hours, storeHere: confirmAtOnce, viewThere: unknown},
		"up for seconds beside an old build":      {here: seconds, there: hours, storeHere: confirmAtOnce, viewThere: unknown, goesOn: true},
		"cut off beside an old build":             {here: hours, there: hours, viewHere: ms, viewThere: unknown, storeThere: nil},
		"all up for seconds":                      {here: seconds, there: seconds, storeHere: confirmAtOnce, storeThere: confirmAtOnce},
		"long enough only by a time it stood for": {here: 598 * time.Second, there: 598 * time.Second, storeHere: confirmAtOnce, storeThere: confirmAtOnce, standsStill: seconds},
	} {
		for _, keyed := range []bool{true, false} {
			t.Run(name+", named "+strconv.FormatBool(keyed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { c.run(t, keyed) })
			})
		}
	}
}

func (c *outOfStep) run(t *testing.T, keyed bool) {
	is := is.New(t)
	site := newCluster(2)
	here, there := site.node(0), site.node(1)
	time.Sleep(time.Hour)
	here.span, here.confirm, here.confirmed, here.standsStill = only(c.here), c.storeHere, time.Now().Add(-c.viewHere), c.standsStill
	there.span, there.confirm, there.confirmed = only(c.there), c.storeThere, time.Now().Add(-c.viewThere)
	if c.viewThere < 0 {
		there.confirmed = time.Time{}
	}
	if c.cut {
		site.Cut("n0", 1)
	}
	wanted := Query{Route: "r", Service: "s", Window: MaxLifetime, Keyed: keyed, Arrived: time.Now()}
	found, err := here.service.Resolve(t.Context(), wanted)
	took := time.Since(wanted.Arrived)
	is.Equal(err == nil, c.goesOn)
	if c.goesOn {
		is.Equal(found.Source, SourceOnlyVersion)
		is.Equal(found.Origin, v1)
		is.Equal(found.Evidence.ConfirmedBy, c.by)
	} else {
		is.True(errors.Is(err, ErrUnknown))
	}
	if c.within > 0 {
		is.True(took <= c.within+silentTimeout)
	}
}

// A record is used without the store, whose answer the client must not wait for.
func TestRecordNeedsNoConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		site := newCluster(6)
		for i := range 6 {
			site.node(i).confirm = answersAfter(time.Minute)
			site.node(i).span = only(hours)
		}
		site.node(0).service.Announce(KeyOf("t", "1"), v1, time.Minute)
		synctest.Wait()
		began := time.Now()
		for i := range 6 {
			_, err := site.node(i).service.Resolve(t.Context(), named("1"))
			is.NoErr(err)
		}
		is.Equal(time.Since(began), time.Duration(0))
		for i := range 6 {
			is.Equal(site.node(i).confirms, 0)
		}
	})
}

// The price of a resumption: a named stream with a record makes no read of the store, one without makes
// one at a single node, and others are asked to read only if this node can't.
func TestConfirmationsPerResumption(t *testing.T) {
	for name, c := range map[string]struct {
		keyed, away    bool
		age            time.Duration
		reads, queries int
	}{
		"unnamed":                         {age: hours, reads: 1, queries: 8},
		"named, without a record":         {keyed: true, age: hours, reads: 1, queries: 8},
		"named, all up for seconds":       {keyed: true, age: seconds, queries: 8},
		"unnamed, all up for seconds":     {age: seconds, reads: 1, queries: 8},
		"unnamed, cut off from the store": {age: hours, away: true, reads: 3, queries: 8 + maxConfirmers},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				site := newCluster(12)
				for i := range 12 {
					site.node(i).span = only(c.age)
				}
				if c.away {
					site.node(0).confirm = nil
				}
				time.Sleep(time.Hour)
				site.Reset()
				_, err := site.node(0).service.Resolve(t.Context(), Query{Route: "r", Service: "s", Window: MaxLifetime, Keyed: c.keyed})
				synctest.Wait()
				is.Equal(err == nil, c.age == hours)
				reads := 0
				for i := range 12 {
					reads += site.node(i).confirms
				}
				is.Equal(reads, c.reads)
				calls, _ := site.Reset()
				is.Equal(calls, c.queries)
			})
		})
	}
}

// A refusal that no confirmation can change does not wait for the store, so that the client has time to retry.
func TestRefusalDoesNotWaitForTheStore(t *testing.T) {
	for name, there := range map[string]fleet.VersionSpan{
		"several versions at another":    {Several: true},
		"another version at another":     {Only: true, Version: "v2", Age: hours},
		"no history that is long enough": only(seconds),
	} {
		for _, keyed := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					site := newCluster(2)
					time.Sleep(time.Hour)
					site.node(0).span, site.node(0).confirm, site.node(1).span = only(seconds), answersAfter(time.Minute), there
					began := time.Now()
					_, err := site.node(0).service.Resolve(t.Context(), Query{Route: "r", Service: "s", Window: time.Minute, Keyed: keyed})
					is.True(errors.Is(err, ErrUnknown))
					is.Equal(time.Since(began), time.Duration(0))
				})
			})
		}
	}
}

// A node that has just started refused named streams whose holders answered late, though the history of one
// reached its own.
func TestNamedStreamGoesOnAfterLateAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := &cluster{Network: nodes.NewNetwork(2 * silentTimeout), members: make([]*testNode, 2)}
		here, there := c.start(0), c.start(1)
		c.shareView()
		time.Sleep(time.Hour)
		here.span, there.span, there.confirm, there.confirmed = only(seconds), only(hours), nil, time.Now()
		found, err := here.service.Resolve(t.Context(), Query{Route: "r", Service: "s", Window: MaxLifetime, Keyed: true})
		is.NoErr(err)
		is.True(found.Evidence.Confirmed)
	})
}

// Another node may know of clients that come back later than all that this one has seen.
func TestLongerLifetimeAtAnotherNodeExtendsTheWindow(t *testing.T) {
	for lifetime, goesOn := range map[time.Duration]bool{time.Minute: true, 2 * time.Minute: false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			site := newCluster(2)
			time.Sleep(time.Hour)
			site.node(0).span, site.node(1).span = only(90*time.Second), only(90*time.Second)
			site.node(1).span.StreamLifetime = lifetime
			_, err := site.node(0).service.Resolve(t.Context(), Query{Route: "r", Service: "s", Window: time.Minute})
			is.Equal(err == nil, goesOn)
		})
	}
}

// An age that a node tells is measured by its clock, which stands still while its machine is suspended.
func TestAgeOfAViewIsNoConfirmation(t *testing.T) {
	is := is.New(t)
	arrived := time.Now()
	proof := &proof{wanted: Query{Arrived: arrived}}
	received := &queryResult{sent: arrived.Add(time.Second), received: arrived.Add(2 * time.Second), response: &queryResponse{Span: only(hours)}}
	for view, confirmed := range map[viewAge]bool{{Known: true, Age: time.Millisecond}: false, {Known: true, Confirmed: true}: true, {}: false} {
		received.response.View = view
		made := newHistory(received, arrived)
		is.Equal(proof.confirms(&made), confirmed)
		is.Equal(made.since, received.received.Add(-hours))
	}
}

// The fields that later builds added must not change what former ones read.
func TestFormerBuildsReadTheLifetimeOfLaterResponses(t *testing.T) {
	is := is.New(t)
	response := &queryResponse{View: viewAge{Known: true, Confirmed: true, Age: time.Second}}
	response.Span.StreamLifetime = time.Minute
	later := response.encodeLater()
	read := &queryResponse{}
	read.decodeLater(later[:lifetimeBytes])
	is.Equal(read.Span.StreamLifetime, time.Minute)
	is.Equal(read.View, viewAge{})
	read = &queryResponse{}
	read.decodeLater(later)
	is.Equal(read, response)
}
