#include "standins/mutations.h"

namespace hareshore::test {

namespace {

constexpr int kMostMutations = 4;
constexpr int kKinds = 4;
constexpr size_t kMostRepeated = 40;  // bytes

}  // namespace

void mutate(std::string& bytes, std::mt19937& random) {
    for (int left = static_cast<int>(random() % (kMostMutations + 1)); left > 0 && !bytes.empty(); --left) {
        switch (random() % kKinds) {
            case 0:
                bytes[random() % bytes.size()] = static_cast<char>(random());
                break;
            case 1:
                bytes.resize(random() % bytes.size());
                break;
            case 2:
                bytes.insert(random() % bytes.size(),
                             bytes.substr(random() % bytes.size(), random() % kMostRepeated));
                break;
            default:
                bytes.insert(random() % bytes.size(), 1, static_cast<char>(random()));
        }
    }
}

}  // namespace hareshore::test
