#include "cluster/image_cache.h"

#include <algorithm>

namespace hareshore {

void ImageCache::use(const std::string& image, double gb) {
    std::erase_if(images_, [&](const Image& i) { return i.name == image; });
    images_.insert(images_.begin(), {image, gb});
    double sum = 0;
    for (auto it = images_.begin(); it != images_.end();) {
        sum += it->gb;
        it = sum > capacity_ && it != images_.begin() ? images_.erase(it) : std::next(it);
    }
}

bool ImageCache::has(const std::string& image) const {
    return std::any_of(images_.begin(), images_.end(), [&](const Image& i) { return i.name == image; });
}

}  // namespace hareshore
