// Package admin serves the admin API of one host. Its server task owns the
// listening socket. It decodes each HTTP request to a typed Request, sends it to
// the tasks that own the state, and encodes their answer.
package admin
