package engine

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/rosemarywing/rosemarywing/pkg/upstream"
)

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.delayedLoad()) }

func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a number", http.StatusBadRequest)
		return
	}
	e.mutex.Lock()
	latest := e.clock.Now().Add(-e.config.CacheEventLag)
	events := e.prefixCache.eventsAfter(after, latest, e.config.DropCacheEventEvery)
	e.mutex.Unlock()
	writeJSON(w, events)
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order upstream.Order
	if !readJSON(w, r, &order) {
		return
	}
	if !e.applyOrder(order) {
		http.Error(w, "the fencing number is below the last accepted one", http.StatusPreconditionFailed)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// kvExport is the KV cache of a request, as sent to another engine: the hashes of
// its blocks.
type kvExport struct {
	Hashes []uint64 `json:"hashes"`
}

func (e *Engine) handleExportKV(w http.ResponseWriter, r *http.Request) {
	if s := e.streamFromPath(w, r); s != nil {
		writeJSON(w, kvExport{Hashes: s.blockHashes})
	}
}

func (e *Engine) handleImportKV(w http.ResponseWriter, r *http.Request) {
	var imported kvExport
	if !readJSON(w, r, &imported) {
		return
	}
	e.mutex.Lock()
	e.prefixCache.store(e.clock.Now(), imported.Hashes)
	e.mutex.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !readJSON(w, r, &faults) {
		return
	}
	e.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

func readJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
