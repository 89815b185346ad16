"""The protocol between entry hosts: messages and their generated code."""
