package main

import (
	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/instance"
)

// build makes the parts of the instance.
func build(instance.Env) (instance.Parts, error) {
	return instance.Parts{}, errkind.New(errkind.Internal, "the platform, peer and upstream clients are not part of this build")
}
