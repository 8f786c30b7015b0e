"""The demo session; see tools/demo."""
import argparse
import pathlib
import shutil
import signal
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).parent))

import session  # noqa: E402


def parse():
    parser = argparse.ArgumentParser(prog="tools/demo")
    parser.add_argument("--quick", action="store_true", help="under 40 s")
    parser.add_argument("--seed", type=int, default=1, help="fixes the choices")
    parser.add_argument("--rate", type=int, default=0,
                        help="calls a second for each deployment")
    parser.add_argument("--port-base", type=int, default=7600)
    parser.add_argument("--keep", type=pathlib.Path, help="folder for the logs")
    parser.add_argument("--bin", type=pathlib.Path, default="build/bin",
                        help="folder of the programs")
    return parser.parse_args()


def main():
    options = parse()
    # A stop from outside ends the session's processes too.
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, lambda *_: sys.exit(1))
    log_dir = options.keep or pathlib.Path(tempfile.mkdtemp(prefix="tarragontray-demo-"))
    log_dir.mkdir(parents=True, exist_ok=True)
    broken = session.run(options, log_dir)
    if broken:
        print(f"logs={log_dir}")
    elif not options.keep:
        shutil.rmtree(log_dir)
    return 1 if broken else 0


sys.exit(main())
