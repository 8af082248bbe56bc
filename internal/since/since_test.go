package since

import (
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "dogwoodfold/internal/seeds"
)

// TestAfterListsEachChangeOnce compares a log with a plain map of revisions.
func TestAfterListsEachChangeOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		log := New[string]()
		revisions := map[string]uint64{}
		key := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		for range rapid.IntRange(0, 40).Draw(rt, "steps") {
			k := key.Draw(rt, "key")
			if rapid.IntRange(0, 4).Draw(rt, "forget") == 0 {
				log.Forget(k)
				delete(revisions, k)
				continue
			}
			log.Record(k)
			revisions[k] = log.Revision()
		}
		after := uint64(rapid.IntRange(0, int(log.Revision())).Draw(rt, "after"))
		want := slices.Sorted(maps.Keys(revisions))
		want = slices.DeleteFunc(want, func(k string) bool { return revisions[k] <= after })
		got := log.After(after)
		for i := 1; i < len(got); i++ {
			if revisions[got[i-1]] < revisions[got[i]] {
				rt.Fatalf("%v is not in order of changes, the newest first", got)
			}
		}
		slices.Sort(got)
		if !slices.Equal(got, want) {
			rt.Fatalf("changes after %d are %v, want %v", after, got, want)
		}
	})
}
