"""Tests of samphiredock."""
