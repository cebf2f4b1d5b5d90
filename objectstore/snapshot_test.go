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

// memoryStore is an object store in memory whose Put can be interrupted.
type memoryStore struct {
	objects map[objectstore.Name][]byte
	// putBytes is the number of bytes that each Put stores before it fails, or -1 for all bytes and no
	// failure.
	putBytes int
	calls    int
}

func (memory *memoryStore) Put(_ context.Context, name objectstore.Name, data []byte) error {
	memory.calls++
	if memory.putBytes >= 0 {
		memory.objects[name] = bytes.Clone(data[:min(memory.putBytes, len(data))])
		return objectstore.ErrUnavailable{Reason: "torn"}
	}
	memory.objects[name] = bytes.Clone(data)
	return nil
}

func (memory *memoryStore) Get(_ context.Context, name objectstore.Name) ([]byte, error) {
	memory.calls++
	data, ok := memory.objects[name]
	if !ok {
		return nil, objectstore.ErrNotFound{Name: name}
	}
	return bytes.Clone(data), nil
}

func (memory *memoryStore) Delete(_ context.Context, name objectstore.Name) error {
	delete(memory.objects, name)
	return nil
}

func (memory *memoryStore) List(_ context.Context, prefix, after objectstore.Name, limit int) ([]objectstore.Name, error) {
	var names []objectstore.Name
	for _, name := range set.SortedKeys(memory.objects) {
		if strings.HasPrefix(string(name), string(prefix)) && name > after && len(names) < limit {
			names = append(names, name)
		}
	}
	return names, nil
}

func newSeries() (*memoryStore, *objectstore.Series) {
	store := &memoryStore{objects: make(map[objectstore.Name][]byte), putBytes: -1}
	return store, objectstore.NewSeries(store, "Snapshot/", 3)
}

// expectNewest checks the payload of the newest intact snapshot.
func expectNewest(t *testing.T, series *objectstore.Series, want string) {
	t.Helper()
	snapshot, err := series.Newest(context.Background())
	if err != nil || string(snapshot.Payload) != want {
		t.Fatalf("newest is %q (%v), not %q", snapshot.Payload, err, want)
	}
}

// TestTornWriteKeepsOlderSnapshot guards against the use of a snapshot whose write was interrupted at any
// byte, and against the loss of the intact one before it.
func TestTornWriteKeepsOlderSnapshot(t *testing.T) {
	containerBytes := len(objectstore.Encode(objectstore.Snapshot{Payload: []byte("new")}))
	for putBytes := range containerBytes {
		store, series := newSeries()
		for index := range 5 {
			if _, err := series.Write(context.Background(), fmt.Appendf(nil, "old-%d", index)); err != nil {
				t.Fatal(err)
			}
		}
		store.putBytes = putBytes
		for range 4 {
			if _, err := series.Write(context.Background(), []byte("new")); err == nil {
				t.Fatal("a torn write was reported as done")
			}
		}
		expectNewest(t, series, "old-4")
		store.putBytes = -1
		if _, err := series.Write(context.Background(), []byte("newer")); err != nil {
			t.Fatal(err)
		}
		expectNewest(t, series, "newer")
	}
}

// TestStaleSnapshotIsSkipped guards against an old snapshot that is used as the newest because it is
// stored under a newer name.
func TestStaleSnapshotIsSkipped(t *testing.T) {
	store, series := newSeries()
	for _, payload := range []string{"first", "second"} {
		if _, err := series.Write(context.Background(), []byte(payload)); err != nil {
			t.Fatal(err)
		}
	}
	store.objects["Snapshot/00000000000000000009"] = store.objects["Snapshot/00000000000000000001"]
	store.objects["Snapshot/readme"] = []byte("no snapshot")
	expectNewest(t, series, "second")
	_, emptySeries := newSeries()
	if _, err := emptySeries.Newest(context.Background()); !objectstore.IsErrNotFound(err) {
		t.Fatalf("newest of an empty series: %v", err)
	}
}

// TestDecodeRefusesFlippedBits guards against a corrupted snapshot that is decoded as an intact one.
func TestDecodeRefusesFlippedBits(t *testing.T) {
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

// BenchmarkNewest measures the throughput and the number of calls with which the newest snapshot is read,
// for several sizes. The baseline is reading the state once.
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
