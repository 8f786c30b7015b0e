"""Tests of figures.py; run with python3 -m unittest."""
import math
import unittest

from benchlib.figures import Figure, least_squares, percentile


class FiguresTest(unittest.TestCase):
    """Bounds, lines and percentiles."""

    def test_bounds(self):
        self.assertFalse(Figure("p", "n", 4, "s", most=4).is_past())
        self.assertTrue(Figure("p", "n", 4.1, "s", most=4).is_past())
        self.assertTrue(Figure("p", "n", 0.9, "", least=1).is_past())
        self.assertFalse(Figure("p", "n", 9, "s").is_past())
        self.assertTrue(Figure("p", "n", math.nan, "s", most=4).is_past())

    def test_line_through_exact_points(self):
        line = least_squares([(0, 1), (10, 21), (20, 41)])
        self.assertAlmostEqual(line.slope, 2)
        self.assertAlmostEqual(line.at(1000), 2001)
        self.assertAlmostEqual(line.error_at(1000), 0)

    def test_spread_grows_with_distance(self):
        line = least_squares([(0, 0), (1, 2), (2, 1), (3, 3)])
        self.assertGreater(line.error_at(100), line.error_at(2))

    def test_two_points_have_no_spread(self):
        line = least_squares([(0, 0), (1, 2)])
        self.assertTrue(math.isnan(line.error_at(5)))

    def test_percentile(self):
        values = list(range(1, 101))
        self.assertEqual(percentile(values, 0.99), 99)
        self.assertEqual(percentile([7], 0.5), 7)


if __name__ == "__main__":
    unittest.main()
