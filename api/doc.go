// Package api contains the OpenAPI documents of the admin API and of the host API. Its
// subpackages contain the code that ogen generates from them.
package api

//go:generate ../.bin/ogen -clean -target admin -package admin -config admin/ogen.yaml admin.yaml
//go:generate ../.bin/ogen -clean -target host -package host -config host/ogen.yaml host.yaml
