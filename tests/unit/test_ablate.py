"""Copies of the project in which one mechanism is switched off."""

import unittest

from click import testing

from benchmarks import ablate


class AblateTest(unittest.TestCase):
    """The patches and the command."""

    def test_every_patch_fits_the_sources(self) -> None:
        """Else a figure could not be measured again."""
        self.assertGreater(len(ablate.mechanisms()), 10)
        for name in ablate.mechanisms():
            with self.subTest(name):
                self.assertTrue(ablate.applies(name))

    def test_a_wrong_call_says_what_was_expected(self) -> None:
        """Nothing is written."""
        run = testing.CliRunner().invoke
        for arguments, word in (
            (['none', 'x'], 'expected one of'),
            (['hedging'], 'does not exist yet'),
            (['hedging', str(ablate.ROOT)], 'does not exist yet'),
        ):
            with self.subTest(arguments):
                got = run(ablate.main, arguments)
                self.assertEqual(2, got.exit_code)
                self.assertIn(word, got.output)
        self.assertIn('hedging', run(ablate.main, []).output)
