// Package admin is the admin API: types, client and server, generated from
// admin.yaml.
package admin
