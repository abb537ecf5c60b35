package qhplatform_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhplatform"
)

// FuzzHandler sends arbitrary requests. Each must get a response with a status of
// the object API, and must not make later calls fail.
func FuzzHandler(f *testing.F) {
	f.Add("PUT", "/v1/objects/a", "", `"1"`, "", "value")
	f.Add("PUT", "/v1/objects/a", "", "", "*", "value")
	f.Add("GET", "/v1/objects/a", "watch=0&wait=1ns", "", "", "")
	f.Add("DELETE", "/v1/objects/a%2Fb", "", `"18446744073709551616"`, "", "")
	f.Add("GET", "/v1/objects", "prefix=..%2f", "", "", "")
	f.Add("PUT", "/v1/faults", "", "", "", `{"stale":-1,"rate":1e308}`)
	f.Fuzz(func(t *testing.T, method, path, query, match, noneMatch, body string) {
		req, err := http.NewRequest(method, "http://platform", strings.NewReader(body))
		if err != nil {
			return // not a valid method
		}
		req.URL = &url.URL{Path: path, RawQuery: query}
		req.Header.Set("If-Match", match)
		req.Header.Set("If-None-Match", noneMatch)
		fake := qhplatform.NewFake(qhplatform.FakeOptions{WatchTimeout: 1})
		handler := qhplatform.NewHandler(fake)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		serve(t, handler, req.WithContext(ctx))
		fake.SetFaults(qhplatform.Faults{})
		store := fake.Store()
		if _, err := store.Create(t.Context(), "next", []byte("1")); err != nil && !qherr.Is(err, qherr.Conflict) {
			t.Fatalf("a later call failed: %v", err)
		}
	})
}

func serve(t *testing.T, handler http.Handler, req *http.Request) {
	recorder := httptest.NewRecorder()
	defer func() {
		panicked := recover()
		if err, _ := panicked.(error); panicked != nil && !errors.Is(err, http.ErrAbortHandler) {
			panic(panicked)
		}
	}()
	handler.ServeHTTP(recorder, req)
	switch recorder.Code {
	case 200, 301, 304, 307, 308, 400, 404, 405, 412, 429, 503:
	default:
		t.Fatalf("status %d", recorder.Code)
	}
}

// FuzzKey writes and reads objects under arbitrary keys over HTTP. A valid key must
// name the same object at the client and at the server.
func FuzzKey(f *testing.F) {
	for _, key := range []string{"a", "a/b", "relay/kigali-a/0", "..", "a//b", "a%2fb", "a?b", "+", "~:@"} {
		f.Add(key)
	}
	fake := qhplatform.NewFake(qhplatform.FakeOptions{})
	server := httptest.NewServer(qhplatform.NewHandler(fake))
	f.Cleanup(server.Close)
	store, cleanup := qhplatform.NewHTTP(qhplatform.HTTPOptions{BaseURL: server.URL, RateLimit: 1e6})
	f.Cleanup(cleanup)
	f.Fuzz(func(t *testing.T, name string) {
		key := qhplatform.Key(name)
		_, err := store.Create(t.Context(), key, []byte(name))
		if invalid := key.Check(); invalid != nil {
			if !qherr.Is(err, qherr.BadInput) {
				t.Fatalf("an invalid key was accepted: %v", err)
			}
			return
		}
		if err != nil && !qherr.Is(err, qherr.Conflict) {
			t.Fatal(err)
		}
		object, err := fake.Store().Get(t.Context(), key)
		if err != nil || string(object.Value) != name {
			t.Fatalf("object %q has value %q: %v", key, object.Value, err)
		}
	})
}
