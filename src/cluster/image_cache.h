// Which images a machine holds. Heartbeats do not list them, so it is followed from what ran there: the least
// recently used image is evicted first, as the protocol promises.
#pragma once
#include <string>
#include <vector>

namespace hareshore {

class ImageCache {
  public:
    ImageCache() = default;
    explicit ImageCache(double capacity_gb) : capacity_gb_(capacity_gb) {}

    void set_capacity(double capacity_gb) { capacity_gb_ = capacity_gb; }
    // A task with this image has run: it is the most recently used one. The newest image stays even if it is
    // larger than the capacity.
    void use(const std::string& image, double size_gb);
    [[nodiscard]] bool has(const std::string& image) const;
    void clear() { images_.clear(); }

  private:
    struct Image {
        std::string name;
        double size_gb = 0;
    };
    double capacity_gb_ = 0;
    std::vector<Image> images_;  // most recently used first
};

}  // namespace hareshore
