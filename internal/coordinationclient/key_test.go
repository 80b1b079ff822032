package coordinationclient

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

func TestPutRequiresTheExpectedRevision(t *testing.T) {
	client := newSystem(t, 2)
	key := client.NewKey("g1.a/b é")
	_, err := key.Get(t.Context())
	require.ErrorIs(t, err, ErrNotFound)
	first, err := key.Put(t.Context(), "one", 0)
	require.NoError(t, err)
	second, err := key.Put(t.Context(), "two", first)
	require.NoError(t, err)
	assert.Greater(t, second, first)
	repeated, err := key.Put(t.Context(), "one", 0)
	require.NoError(t, err)
	assert.Equal(t, first, repeated)
	_, err = key.Put(t.Context(), "three", first)
	var mismatch *RevisionMismatchError
	require.ErrorAs(t, err, &mismatch)
	assert.Equal(t, second, mismatch.Revision)
	entry, err := key.Get(t.Context())
	require.NoError(t, err)
	assert.Equal(t, Entry{Value: "two", Revision: second}, entry)
}

func TestSetIgnoresTheRevision(t *testing.T) {
	client := newSystem(t, 1)
	key := client.NewKey("g.a")
	first, err := key.Set(t.Context(), "one")
	require.NoError(t, err)
	second, err := key.Set(t.Context(), "two")
	require.NoError(t, err)
	assert.Greater(t, second, first)
}

func TestPutWithoutADefiniteAnswerIsRepeatedUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, client := newNetwork(map[string]script{"a": inTurn(neverRespond, reset), "b": inTurn(reply(504, `{}`, 0), reply(200, `{"revision":9}`, 0))})
		revision, err := client.NewKey("g.k").Put(t.Context(), "v", 8)
		require.NoError(t, err)
		assert.EqualValues(t, 9, revision)
		for _, a := range n.recordedAttempts() {
			assert.JSONEq(t, `{"value":"v","ifRevision":8}`, a.body)
		}
		assert.Len(t, n.recordedAttempts(), 4)
	})
}

// nextBatch waits for a batch of a watch, in a test with real time.
func nextBatch(t *testing.T, w *Watch) Batch {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	batch, err := w.Next(ctx)
	require.NoError(t, err)
	return batch
}

func TestWatchReportsEachPutOnceAndResumes(t *testing.T) {
	client := newSystem(t, 2)
	a, b := client.NewKey("g.a"), client.NewKey("g.b")
	first, err := a.Put(t.Context(), "a1", 0)
	require.NoError(t, err)
	watch := client.NewWatch("g.", 0)
	assert.Equal(t, Batch{Revision: first, IsReset: true, Events: []Event{}}, nextBatch(t, watch))
	second, err := b.Put(t.Context(), "b1", 0)
	require.NoError(t, err)
	batch := nextBatch(t, watch)
	assert.Equal(t, Batch{Events: []Event{{Key: "g.b", Value: "b1", Revision: second}}, Revision: second}, batch)
	third, err := a.Put(t.Context(), "a2", first)
	require.NoError(t, err)
	resumed := client.NewWatch("g.", first)
	assert.Equal(t, []message.Revision{second, third}, revisions(nextBatch(t, resumed)))
	assert.Equal(t, []message.Revision{third}, revisions(nextBatch(t, watch)))
}

func revisions(batch Batch) []message.Revision {
	found := make([]message.Revision, 0, len(batch.Events))
	for _, event := range batch.Events {
		found = append(found, event.Revision)
	}
	return found
}

func TestWatchOfAnEmptyGroupIsResetByItsFirstPut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		none := reply(200, `{"events":[],"revision":0}`, 0)
		n, client := newNetwork(map[string]script{"a": inTurn(none, none, reply(200, `{"events":[],"revision":2}`, 0))})
		batch, err := client.NewWatch("g.", 0).Next(t.Context())
		require.NoError(t, err)
		assert.Equal(t, Batch{Revision: 2, IsReset: true, Events: []Event{}}, batch)
		assert.Equal(t, 2*emptyGroupInterval, time.Since(n.start))
	})
}

func TestWatchIsResetAfterHistoryWasDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, client := newNetwork(map[string]script{"a": inTurn(
			reply(410, `{}`, 0),
			reply(200, `{"events":[],"revision":90}`, 0),
			reply(200, `{"events":[],"revision":90}`, watchWait),
			reply(200, `{"events":[{"name":"g.a","value":"v","revision":91}],"revision":91}`, 0),
		)})
		watch := client.NewWatch("g.", 5)
		batch, err := watch.Next(t.Context())
		require.NoError(t, err)
		assert.True(t, batch.IsReset)
		assert.EqualValues(t, 90, batch.Revision)
		batch, err = watch.Next(t.Context())
		require.NoError(t, err)
		assert.False(t, batch.IsReset)
		assert.Equal(t, []message.Revision{91}, revisions(batch))
	})
}

func TestWatchRetriesAfterCoordinatorFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		event := reply(200, `{"events":[{"name":"g.a","value":"v","revision":6}],"revision":6}`, 0)
		_, client := newNetwork(map[string]script{"a": inTurn(neverRespond, refuse), "b": func(n int, r *http.Request) (*http.Response, error) {
			if n < 30 {
				return reset(n, r)
			}
			return event(n, r)
		}})
		batch, err := client.NewWatch("g.", 5).Next(t.Context())
		require.NoError(t, err)
		assert.Equal(t, []message.Revision{6}, revisions(batch))
	})
}

func TestWatchEndsWithItsContextAndWithRejections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, client := newNetwork(map[string]script{"a": neverRespond})
		ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
		defer cancel()
		_, err := client.NewWatch("g.", 5).Next(ctx)
		require.ErrorIs(t, err, context.DeadlineExceeded)

		_, client = newNetwork(map[string]script{"a": reply(400, `{"error":"never given"}`, 0)})
		_, err = client.NewWatch("g.", 5).Next(t.Context())
		require.ErrorContains(t, err, "never given")
	})
}
