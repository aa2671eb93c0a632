// Command genproto compiles the .proto files in the folder proto and writes the generated Go code to the folder gen. It
// compiles with a Go library instead of protoc and runs the plugins that go.mod pins. With -check it writes nothing and
// fails if the committed code differs.
package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

const modulePrefix = "cyclamenstream/"

func main() {
	check := flag.Bool("check", false, "compare with the committed code and write nothing")
	flag.Parse()
	if err := run(*check); err != nil {
		fmt.Fprintln(os.Stderr, "genproto:", err)
		os.Exit(1)
	}
}

func run(check bool) error {
	names, err := protoFiles("proto")
	if err != nil {
		return err
	}
	request, err := compile(names)
	if err != nil {
		return err
	}
	for _, plugin := range []string{"protoc-gen-go", "protoc-gen-go-grpc"} {
		files, err := runPlugin(plugin, request)
		if err != nil {
			return err
		}
		for _, f := range files {
			if err := writeOrCompare(f, check); err != nil {
				return err
			}
		}
	}
	return nil
}

func protoFiles(root string) ([]string, error) {
	var names []string
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, ".proto") {
			rel, _ := filepath.Rel(root, path)
			names = append(names, filepath.ToSlash(rel))
		}
		return err
	})
	return names, err
}

func compile(names []string) (*pluginpb.CodeGeneratorRequest, error) {
	compiler := protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{ImportPaths: []string{"proto"}},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := compiler.Compile(context.Background(), names...)
	if err != nil {
		return nil, err
	}
	var descriptors []*descriptorpb.FileDescriptorProto
	for _, f := range files {
		descriptors = append(descriptors, protoutil.ProtoFromFileDescriptor(f))
	}
	return &pluginpb.CodeGeneratorRequest{
		FileToGenerate: names,
		Parameter:      proto.String("module=" + strings.TrimSuffix(modulePrefix, "/")),
		ProtoFile:      descriptors,
	}, nil
}

func runPlugin(name string, request *pluginpb.CodeGeneratorRequest) ([]*pluginpb.CodeGeneratorResponse_File, error) {
	input, err := proto.Marshal(request)
	if err != nil {
		return nil, err
	}
	command := exec.Command("go", "tool", name)
	command.Stdin = bytes.NewReader(input)
	command.Stderr = os.Stderr
	output, err := command.Output()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	var response pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(output, &response); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if response.GetError() != "" {
		return nil, fmt.Errorf("%s: %s", name, response.GetError())
	}
	return response.File, nil
}

func writeOrCompare(f *pluginpb.CodeGeneratorResponse_File, check bool) error {
	path, content := f.GetName(), []byte(f.GetContent())
	if check {
		committed, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if !bytes.Equal(committed, content) {
			return fmt.Errorf("%s is out of date: run go run ./tools/genproto", path)
		}
		return nil
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return os.WriteFile(path, content, 0o644)
}
