#include "standins/mutations.h"

namespace hareshore::test {

namespace {

constexpr int kMaxMutations = 4;
constexpr int kKinds = 4;
constexpr size_t kMaxRepeatedBytes = 40;

}  // namespace

void mutate(std::string& bytes, std::mt19937& random) {
    for (int remaining = static_cast<int>(random() % (kMaxMutations + 1)); remaining > 0 && !bytes.empty();
         --remaining) {
        switch (random() % kKinds) {
            case 0:
                bytes[random() % bytes.size()] = static_cast<char>(random());
                break;
            case 1:
                bytes.resize(random() % bytes.size());
                break;
            case 2:
                bytes.insert(random() % bytes.size(),
                             bytes.substr(random() % bytes.size(), random() % kMaxRepeatedBytes));
                break;
            default:
                bytes.insert(random() % bytes.size(), 1, static_cast<char>(random()));
        }
    }
}

}  // namespace hareshore::test
