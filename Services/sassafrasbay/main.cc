#include <cstdio>

int main() {
  std::fputs("sassafrasbay: no subcommand is available yet\n", stderr);
  return 2;
}
