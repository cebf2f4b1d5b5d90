package objectstore_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"

	"hyssopjunction/logging"
	"hyssopjunction/objectstore"
	"hyssopjunction/set"
)

func TestMain(m *testing.M) {
	logging.New(io.Discard, slog.LevelInfo)
	m.Run()
}

// memory is an object store whose next Put can be cut short.
type memory struct {
	objects map[objectstore.Name][]byte
	// torn is the number of bytes that the next Put stores, -1 for all.
	torn  int
	calls int
}

func (memory *memory) Put(_ context.Context, name objectstore.Name, data []byte) error {
	memory.calls++
	if memory.torn >= 0 {
		memory.objects[name] = bytes.Clone(data[:min(memory.torn, len(data))])
		return objectstore.ErrUnavailable{Reason: "torn"}
	}
	memory.objects[name] = bytes.Clone(data)
	return nil
}

func (memory *memory) Get(_ context.Context, name objectstore.Name) ([]byte, error) {
	memory.calls++
	data, ok := memory.objects[name]
	if !ok {
		return nil, objectstore.ErrNotFound{Name: name}
	}
	return bytes.Clone(data), nil
}

func (memory *memory) Delete(_ context.Context, name objectstore.Name) error {
	delete(memory.objects, name)
	return nil
}

func (memory *memory) List(_ context.Context, prefix, after objectstore.Name, limit int) ([]objectstore.Name, error) {
	var names []objectstore.Name
	for _, name := range set.SortedKeys(memory.objects) {
		if strings.HasPrefix(string(name), string(prefix)) && name > after && len(names) < limit {
			names = append(names, name)
		}
	}
	return names, nil
}

func newSeries() (*memory, *objectstore.Series) {
	store := &memory{objects: make(map[objectstore.Name][]byte), torn: -1}
	return store, objectstore.NewSeries(store, "Snapshot/", 3)
}

// expectNewest checks the payload of the newest whole snapshot.
func expectNewest(t *testing.T, series *objectstore.Series, want string) {
	t.Helper()
	snapshot, err := series.Newest(context.Background())
	if err != nil || string(snapshot.Payload) != want {
		t.Fatalf("newest is %q (%v), not %q", snapshot.Payload, err, want)
	}
}

// TestTornWrite guards against the use of a snapshot that was cut short at any byte, and against the
// loss of the whole one before it.
func TestTornWrite(t *testing.T) {
	whole := len(objectstore.Encode(objectstore.Snapshot{Payload: []byte("new")}))
	for torn := range whole {
		store, series := newSeries()
		for index := range 5 {
			if _, err := series.Write(context.Background(), fmt.Appendf(nil, "old-%d", index)); err != nil {
				t.Fatal(err)
			}
		}
		store.torn = torn
		for range 4 {
			if _, err := series.Write(context.Background(), []byte("new")); err == nil {
				t.Fatal("a torn write was reported as done")
			}
		}
		expectNewest(t, series, "old-4")
		store.torn = -1
		if _, err := series.Write(context.Background(), []byte("newer")); err != nil {
			t.Fatal(err)
		}
		expectNewest(t, series, "newer")
	}
}

// TestStaleSnapshot guards against an old snapshot that is taken for the newest because it was
// stored under a newer name.
func TestStaleSnapshot(t *testing.T) {
	store, series := newSeries()
	for _, payload := range []string{"first", "second"} {
		if _, err := series.Write(context.Background(), []byte(payload)); err != nil {
			t.Fatal(err)
		}
	}
	store.objects["Snapshot/00000000000000000009"] = store.objects["Snapshot/00000000000000000001"]
	store.objects["Snapshot/readme"] = []byte("no snapshot")
	expectNewest(t, series, "second")
	_, empty := newSeries()
	if _, err := empty.Newest(context.Background()); !objectstore.IsErrNotFound(err) {
		t.Fatalf("newest of an empty series: %v", err)
	}
}

// TestFlippedBits guards against a corrupted snapshot that passes for a whole one.
func TestFlippedBits(t *testing.T) {
	data := objectstore.Encode(objectstore.Snapshot{Sequence: 7, Payload: []byte("some state")})
	for index := range data {
		for bit := range 8 {
			data[index] ^= 1 << bit
			if _, err := objectstore.Decode("x", data); !objectstore.IsErrBadSnapshot(err) {
				t.Fatalf("bit %d of byte %d flipped: %v", bit, index, err)
			}
			data[index] ^= 1 << bit
		}
	}
}

// FuzzDecode guards against a panic, and against a container that is accepted although it differs
// from what Encode writes.
func FuzzDecode(f *testing.F) {
	f.Add(objectstore.Encode(objectstore.Snapshot{Sequence: 1, Payload: []byte("state")}))
	f.Add([]byte("HYSN"))
	f.Fuzz(func(t *testing.T, data []byte) {
		snapshot, err := objectstore.Decode("x", data)
		if err == nil && !bytes.Equal(objectstore.Encode(snapshot), data) {
			t.Fatal("accepted container differs from its encoding")
		}
		if err != nil && !objectstore.IsErrBadSnapshot(err) {
			t.Fatalf("untyped error %v", err)
		}
	})
}

// BenchmarkNewest measures the bytes and calls that finding the newest snapshot takes against state
// size; the baseline is reading the state once.
func BenchmarkNewest(b *testing.B) {
	for _, size := range []int{10 << 10, 100 << 10, 1 << 20} {
		b.Run(fmt.Sprintf("%dKiB", size>>10), func(b *testing.B) {
			store, series := newSeries()
			payload := bytes.Repeat([]byte("x"), size)
			for range 3 {
				if _, err := series.Write(context.Background(), payload); err != nil {
					b.Fatal(err)
				}
			}
			store.calls = 0
			b.SetBytes(int64(size))
			for b.Loop() {
				if _, err := series.Newest(context.Background()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(store.calls)/float64(b.N), "reads/baseline")
		})
	}
}
