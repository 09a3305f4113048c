#include "cluster/image_cache.h"

#include <algorithm>

namespace hareshore {

void ImageCache::use(const std::string& image, double size_gb) {
    std::erase_if(images_, [&](const Image& cached) { return cached.name == image; });
    images_.insert(images_.begin(), {image, size_gb});
    double sum_gb = 0;
    for (auto image_entry = images_.begin(); image_entry != images_.end();) {
        sum_gb += image_entry->size_gb;
        bool evicted = sum_gb > capacity_gb_ && image_entry != images_.begin();
        image_entry = evicted ? images_.erase(image_entry) : std::next(image_entry);
    }
}

bool ImageCache::has(const std::string& image) const {
    return std::any_of(images_.begin(), images_.end(),
                       [&](const Image& cached) { return cached.name == image; });
}

}  // namespace hareshore
