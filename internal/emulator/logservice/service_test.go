package logservice

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/siteservices"
)

func TestAppendAndReadKeepOrder(t *testing.T) {
	check := is.New(t)
	service := New(1)
	first, err := service.Append(t.Context(), "a", [][]byte{[]byte("one"), []byte("two")})
	check.NoErr(err)
	check.Equal(first, siteservices.Offset(0))
	second, err := service.Append(t.Context(), "a", [][]byte{[]byte("three")})
	check.NoErr(err)
	check.Equal(second, siteservices.Offset(2))
	result, err := service.Read(t.Context(), "a", 1, 10, 0)
	check.NoErr(err)
	check.Equal(result, siteservices.ReadResult{
		Records: [][]byte{[]byte("two"), []byte("three")}, From: 1, End: 3,
	})
	check.Equal(result.Next(), siteservices.Offset(3))
}

func TestLongPollWakesOnAppendAndOnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		service := New(1)
		started := time.Now()
		time.AfterFunc(3*time.Second, func() {
			_, _ = service.Append(context.Background(), "a", [][]byte{[]byte("x")})
		})
		result, err := service.Read(t.Context(), "a", 0, 10, time.Minute)
		check.NoErr(err)
		check.Equal(len(result.Records), 1)
		check.Equal(time.Since(started), 3*time.Second)
		time.AfterFunc(time.Second, func() { service.SetDown(true) })
		_, err = service.Read(t.Context(), "a", 1, 10, time.Minute)
		check.True(errors.Is(err, siteservices.ErrUnavailable))
		check.Equal(time.Since(started), 4*time.Second)
	})
}

func TestLongPollEndsEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		result, err := New(1).Read(t.Context(), "a", 0, 10, time.Second)
		check.NoErr(err)
		check.Equal(result, siteservices.ReadResult{})
	})
}

func TestScriptedOutcomes(t *testing.T) {
	check := is.New(t)
	service := New(1)
	node := service.ViewFor("n1")
	node.Script(LoseRequest, LoseAnswer, RefuseAppend, Succeed)
	wanted := []error{siteservices.ErrOutcomeUnknown, siteservices.ErrOutcomeUnknown, siteservices.ErrUnavailable, nil}
	for i, want := range wanted {
		_, err := node.Append(t.Context(), "a", [][]byte{{byte(i)}})
		check.True(errors.Is(err, want))
	}
	check.Equal(service.Records("a"), [][]byte{{1}, {3}})
}

func TestViewsFailIndependently(t *testing.T) {
	check := is.New(t)
	service := New(1)
	service.ViewFor("n1").SetDown(true)
	_, err := service.ViewFor("n1").Append(t.Context(), "a", [][]byte{{1}})
	check.True(errors.Is(err, siteservices.ErrUnavailable))
	_, err = service.ViewFor("n2").Append(t.Context(), "a", [][]byte{{2}})
	check.NoErr(err)
	check.Equal(service.Counts().Records, uint64(1))
}

func TestSlowAppendTakesEffectAfterCallerGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		service := New(1)
		service.SetFaults(Faults{AppendDelay: 2 * time.Second})
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		_, err := service.Append(ctx, "a", [][]byte{{1}})
		check.True(errors.Is(err, siteservices.ErrOutcomeUnknown))
		check.Equal(len(service.Records("a")), 0)
		time.Sleep(time.Second)
		check.Equal(len(service.Records("a")), 1)
	})
}

func TestReadIsBoundedInBytes(t *testing.T) {
	check := is.New(t)
	service := New(1)
	large := make([]byte, MaxReadBytes-1)
	_, err := service.Append(t.Context(), "a", [][]byte{large, large})
	check.NoErr(err)
	result, err := service.Read(t.Context(), "a", 0, 0, 0)
	check.NoErr(err)
	check.Equal(len(result.Records), 1)
	check.Equal(result.End, siteservices.Offset(2))
}
