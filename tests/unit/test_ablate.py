"""The command that copies the project with one mechanism disabled."""

import unittest

from click import testing

from benchmarks import ablate


class AblateTest(unittest.TestCase):
    """The patches apply, and the command reports wrong arguments."""

    def test_every_patch_fits_the_sources(self) -> None:
        """The effect of a mechanism cannot be measured without its patch."""
        self.assertGreater(len(ablate.mechanisms()), 10)
        for name in ablate.mechanisms():
            with self.subTest(name):
                self.assertTrue(ablate.applies(name))

    def test_a_wrong_call_says_what_was_expected(self) -> None:
        """A wrong mechanism, a missing folder, and a folder that exists."""
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
