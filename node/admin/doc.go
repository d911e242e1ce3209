// Package admin serves the admin API of one host. Its server task owns the
// listening socket. It authenticates each HTTP request, decodes it to a typed
// Request, and encodes the answer. Package operator receives the requests and
// collects the answers from the tasks that own the state.
package admin
