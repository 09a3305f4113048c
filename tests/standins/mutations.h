// Random mutations of decoder input.
#pragma once
#include <random>
#include <string>

namespace hareshore::test {

// Replaces, truncates, repeats or inserts bytes, up to four times.
void mutate(std::string& bytes, std::mt19937& random);

}  // namespace hareshore::test
