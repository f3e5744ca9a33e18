package journal

import (
	"context"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
)

func TestRecordsSurviveTakeover(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		site := newTestSite(1, 8)
		defer site.close()
		for i := range 6 {
			site.start(i)
		}
		is.NoErr(site.awaitServing(30 * time.Second))
		open := site.serving(3).host.open(3)
		for number := range uint64(100) {
			is.NoErr(open.add(context.Background(), number, number%10 == 0))
		}
		is.Equal(len(open.machine.numbers()), 100)
		time.Sleep(time.Second)
		site.serving(3).kill()
		site.refresh()
		is.NoErr(site.awaitServing(30 * time.Second))
		is.Equal(site.serving(3).host.open(3).machine.numbers(), open.machine.numbers())
	})
}

func TestMetricForEachStat(t *testing.T) {
	is := is.New(t)
	registry := prometheus.NewPedanticRegistry()
	New(Config{ShardCount: 4, Registerer: registry})
	families, err := registry.Gather()
	is.NoErr(err)
	is.Equal(len(families), reflect.TypeFor[Stats]().NumField())
}
